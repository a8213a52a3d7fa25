package org.fescuehollow.gateway.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.StreamOrigin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Replays streams that clients resume at another node than the one that began them, which may have
 * been killed.
 */
class StreamOriginExchangeTest {
    private static final int NODES = 9;
    private static final int MAX_DATAGRAM_BYTES = 1_400;
    private static final String ID = "ab7c31d901e2f455";
    private static final String LONG_ID = "x".repeat(128);

    private final OriginFleet mFleet = new OriginFleet(NODES);

    @AfterEach
    void close() {
        mFleet.close();
    }

    /** Returns a node that neither began the stream nor was told of it. */
    private int stranger(String id) {
        List<Integer> told = mFleet.holders(0, id);
        return IntStream.range(1, NODES).filter(i -> !told.contains(i)).findFirst().orElseThrow();
    }

    private Optional<String> find(int node, String id) {
        return mFleet.find(node, id).join();
    }

    private void recordAtNode0(String... ids) {
        mFleet.record(0, "v1", ids);
        TestCluster.await(
                () ->
                        List.of(ids).stream()
                                .allMatch(
                                        id ->
                                                mFleet.holders(0, id).stream()
                                                        .allMatch(h -> mFleet.knows(h, id))));
    }

    private static StreamOrigin origin(String id, String version) {
        return StreamOrigin.newBuilder().setStream(id).setVersion(version).build();
    }

    private static NodeNews.Builder message() {
        return NodeNews.newBuilder().setNode("node-8").setIp("10.0.0.8");
    }

    @Test
    void find_isAnsweredAfterTheNodeThatBeganTheStreamWasKilled() {
        recordAtNode0(ID);
        mFleet.kill(0);
        then(find(stranger(ID), ID)).contains("v1");
    }

    @Test
    void find_isAnsweredByTheLastNodeThatWasTold() {
        recordAtNode0(ID);
        mFleet.kill(0);
        mFleet.holders(0, ID).subList(0, 2).forEach(mFleet::kill);
        then(find(stranger(ID), ID)).contains("v1");
    }

    @Test
    void find_isAnsweredByANodeThatBeganTheStreamAndToldNobody() {
        int holder = mFleet.holders(4, ID).get(1);
        mFleet.recordSilently(holder, "v2", ID);
        then(find(4, ID)).contains("v2");
    }

    @Test
    void find_needsNoMessageForOwnStreams() {
        mFleet.recordSilently(4, "v2", ID);
        then(find(4, ID)).contains("v2");
        then(mFleet.sent()).isEmpty();
    }

    @Test
    void find_isRepeatedOnceIfDatagramsAreLost() {
        recordAtNode0(ID);
        int node = stranger(ID);
        int before = mFleet.sent().size();
        mFleet.lose(d -> mFleet.sent().size() <= before + 3);
        then(find(node, ID)).contains("v1");
        then(mFleet.sent().stream().filter(OriginFleet.Datagram::isQuestion)).hasSize(6);
    }

    @Test
    void find_givesUpWhenNobodyAnswers() {
        recordAtNode0(ID);
        int node = stranger(ID);
        mFleet.lose(OriginFleet.Datagram::isAnswer);
        then(find(node, ID)).isEmpty();
        then(mFleet.sent().stream().filter(OriginFleet.Datagram::isQuestion)).hasSize(6);
        then(mFleet.count(node, "stream_origin_timeout")).isEqualTo(1);
    }

    @Test
    void find_endsOnceAllNodesHaveAnsweredThatTheyDontKnow() {
        then(find(4, ID)).isEmpty();
        then(mFleet.count(4, "stream_origin_timeout")).isZero();
        then(mFleet.sent().stream().filter(OriginFleet.Datagram::isAnswer)).hasSize(3);
    }

    @Test
    void find_ignoresALateAnswer() throws Exception {
        recordAtNode0(ID);
        int node = stranger(ID);
        mFleet.delayAnswers(400);
        CompletableFuture<Optional<String>> result = mFleet.find(node, ID);
        then(result.join()).isEmpty();
        Thread.sleep(500);
        then(mFleet.knows(node, ID)).isFalse();
        mFleet.delayAnswers(1);
        then(find(node, ID)).contains("v1");
    }

    @Test
    void find_namesNoVersionIfTwoWereRecorded() {
        recordAtNode0(ID);
        int other = stranger(ID);
        mFleet.record(other, "v2", ID);
        int told = mFleet.holders(0, ID).get(0);
        TestCluster.await(() -> !mFleet.knows(told, ID));
        then(find(told, ID)).isEmpty();
        int asking =
                IntStream.range(1, NODES)
                        .filter(i -> i != other && !mFleet.holders(0, ID).contains(i))
                        .filter(i -> !mFleet.holders(other, ID).contains(i))
                        .findFirst()
                        .orElseThrow();
        then(find(asking, ID)).isEmpty();
        then(mFleet.count(told, "stream_origin_disputed")).isEqualTo(1);
    }

    @Test
    void find_namesNoVersionAfterAllThatKnewItHaveStartedAgain() {
        recordAtNode0(ID);
        int node = stranger(ID);
        IntStream.range(0, NODES).filter(i -> i != node).forEach(mFleet::restart);
        then(find(node, ID)).isEmpty();
        then(mFleet.count(node, "stream_origin_timeout")).isZero();
    }

    @Test
    void find_asksOnceForSeveralTriesOfOneClient() {
        recordAtNode0(ID);
        int node = stranger(ID);
        CompletableFuture<Optional<String>> first = mFleet.find(node, ID);
        CompletableFuture<Optional<String>> second = mFleet.find(node, ID);
        then(first.join()).contains("v1");
        then(second.join()).contains("v1");
        then(mFleet.sent().stream().filter(OriginFleet.Datagram::isQuestion)).hasSize(3);
    }

    @Test
    void record_ofManyStreamsFitsIntoPackets() {
        String[] ids =
                IntStream.range(0, 300)
                        .mapToObj(i -> "a2f31c88d%07d".formatted(i))
                        .toArray(String[]::new);
        recordAtNode0(ids);
        mFleet.kill(0);
        for (String id : ids) {
            then(find(stranger(id), id)).contains("v1");
        }
        then(mFleet.sent()).allMatch(d -> d.bytes() < MAX_DATAGRAM_BYTES);
        // 300 records of 25 bytes to 3 of 8 nodes each, some 50 to a packet.
        then(mFleet.sent().stream().filter(d -> d.from() == 0)).hasSizeBetween(16, 32);
    }

    @Test
    void record_ofTheLongestIdsFitsIntoPackets() {
        String[] ids =
                IntStream.range(0, 40).mapToObj(i -> "%0128d".formatted(i)).toArray(String[]::new);
        recordAtNode0(ids);
        then(mFleet.sent()).allMatch(d -> d.bytes() < MAX_DATAGRAM_BYTES);
    }

    @Test
    void exchange_isSilentWithoutStreams() throws Exception {
        Thread.sleep(300);
        then(mFleet.sent()).isEmpty();
    }

    @Test
    void messages_withWrongLengthsAreIgnored() {
        mFleet.receive(
                1,
                message()
                        .addOrigins(origin("", "v1"))
                        .addOrigins(origin(LONG_ID + "x", "v1"))
                        .addOrigins(origin("a", ""))
                        .addOrigins(origin("b", "v".repeat(65)))
                        .addOrigins(origin(LONG_ID, "v".repeat(64)))
                        .addOriginQuestions("")
                        .addOriginQuestions(LONG_ID + "x")
                        .build());
        then(List.of("", LONG_ID + "x", "a", "b")).noneMatch(id -> mFleet.knows(1, id));
        then(mFleet.knows(1, LONG_ID)).isTrue();
        then(mFleet.sent()).isEmpty();
        then(find(1, LONG_ID + "x")).isEmpty();
        then(mFleet.sent()).isEmpty();
    }

    @Test
    void answer_thatWasNotAskedForIsIgnored() {
        mFleet.receive(1, message().addOriginAnswers(origin(ID, "v7")).build());
        then(mFleet.knows(1, ID)).isFalse();
    }

    @Test
    void answer_ofANodeThatWasNotAskedIsIgnored() {
        mFleet.lose(OriginFleet.Datagram::isAnswer);
        int other =
                IntStream.range(0, NODES)
                        .filter(i -> i != 1 && !mFleet.holders(1, ID).contains(i))
                        .findFirst()
                        .orElseThrow();
        CompletableFuture<Optional<String>> result = mFleet.find(1, ID);
        mFleet.receive(
                1, message().setNode("node-" + other).addOriginAnswers(origin(ID, "v7")).build());
        then(result.join()).isEmpty();
    }

    @Test
    void record_isNotOlderThanItsAgeAllows() {
        StreamOrigin ancient = origin(ID, "v1").toBuilder().setMsAgo(-1).build();
        mFleet.receive(1, message().addOrigins(ancient).build());
        StreamOrigin recent = origin("b", "v1").toBuilder().setMsAgo(30_000).build();
        mFleet.receive(1, message().addOrigins(recent).build());
        TestCluster.await(() -> !mFleet.knows(1, ID));
        then(mFleet.knows(1, "b")).isTrue();
    }
}
