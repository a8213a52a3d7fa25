package org.fescuehollow.gateway.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramSocket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.fescuehollow.wire.ExchangeProto.EnginesRead;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.StreamOrigin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Records and questions that a node receives as datagrams, some of them malformed. */
class StreamOriginSocketTest {
    private static final String PEER_IP = "127.0.0.9";
    private static final String ID = "ab7c31d901e2f455";

    private final Vertx mVertx = Vertx.vertx();
    private final TestCluster mCluster = new TestCluster();
    private final List<StreamOrigin> mAnswers = new CopyOnWriteArrayList<>();
    private final List<EnginesRead> mReads = new CopyOnWriteArrayList<>();

    @BeforeEach
    void start() {
        mCluster.addServer("i-1", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
        DatagramSocket peer = mVertx.createDatagramSocket();
        peer.handler(
                p -> {
                    try {
                        NodeNews message = NodeNews.parseFrom(p.data().getBytes());
                        mAnswers.addAll(message.getOriginAnswersList());
                        if (message.hasEnginesRead()) {
                            mReads.add(message.getEnginesRead());
                        }
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
        peer.listen(mCluster.exchangePort(), PEER_IP)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    @AfterEach
    void close() {
        mCluster.close();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static NodeNews.Builder message() {
        return NodeNews.newBuilder().setNode("node-9").setDomain("south").setIp(PEER_IP);
    }

    private void send(NodeNews.Builder message) {
        mCluster.sendDatagram(0, message.build().toByteArray());
    }

    private StreamOrigin ask(String id) {
        TestCluster.await(
                () -> {
                    send(message().addOriginQuestions(id));
                    return mAnswers.stream().anyMatch(a -> a.getStream().equals(id));
                });
        return mAnswers.stream().filter(a -> a.getStream().equals(id)).findFirst().orElseThrow();
    }

    @Test
    void question_isAnsweredWithTheRecord() {
        send(message().addOrigins(StreamOrigin.newBuilder().setStream(ID).setVersion("v1")));
        StreamOrigin answer = ask(ID);
        then(answer.getVersion()).isEqualTo("v1");
        then(answer.getConflicting()).isFalse();
    }

    @Test
    void question_isAnsweredIfTheStreamIsUnknown() {
        StreamOrigin answer = ask("unheard");
        then(answer.getVersion()).isEmpty();
        then(answer.getConflicting()).isFalse();
    }

    @Test
    void node_thatReadsTheStoreTellsWhichEntriesItReads() {
        TestCluster.await(
                () -> {
                    send(message().setSequence(4).setEnginesAsked(77).setIncarnation(5));
                    return !mReads.isEmpty();
                });
        EnginesRead read = mReads.get(0);
        then(read.getAsked()).isEqualTo(77);
        then(read.getIncarnation()).isEqualTo(5);
        then(read.getMsAgo()).isBetween(0, 3_000);
        then(read.getFingerprint()).isNotZero();
    }

    @Test
    void datagrams_thatAreMalformedChangeNothing() {
        byte[] sound =
                message()
                        .addOrigins(StreamOrigin.newBuilder().setStream(ID).setVersion("v2"))
                        .addOriginQuestions(ID)
                        .build()
                        .toByteArray();
        IntStream.range(0, sound.length)
                .forEach(
                        n -> {
                            byte[] cut = Arrays.copyOf(sound, n);
                            mCluster.sendDatagram(0, cut);
                        });
        mCluster.sendDatagram(0, "\u00ff\u00fe garbage".getBytes(StandardCharsets.ISO_8859_1));
        byte[] badText = message().addOriginQuestions("\u00e9").build().toByteArray();
        badText[badText.length - 1] = (byte) 0xff;
        mCluster.sendDatagram(0, badText);
        send(message().clearIp().addOriginQuestions(ID));
        send(message().setIp("\n").addOriginQuestions(ID));
        send(message().addOrigins(StreamOrigin.newBuilder().setStream("b").setVersion("v1")));
        then(ask("b").getVersion()).isEqualTo("v1");
        then(mCluster.call(0, "/read/", "id-1", "x").statusCode()).isEqualTo(200);
    }
}
