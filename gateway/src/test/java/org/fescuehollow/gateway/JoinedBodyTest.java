package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.fescuehollow.gateway.testsupport.PlainResponses.get;
import static org.fescuehollow.gateway.testsupport.PlainResponses.response;
import static org.fescuehollow.gateway.testsupport.PlainResponses.thenIsOfTheEngineOrAnError;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fescuehollow.gateway.testsupport.PlainResponses;
import org.fescuehollow.gateway.testsupport.PlainResponses.Framing;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a body with a second response at its end: a plain response without a length ends
 * with its connection, on which another response follows.
 */
class JoinedBodyTest {
    /** Fewer bytes of a status line can't be told from text. */
    private static final int MIN_CUT = "HTTP/".length();

    private static final int STATUS_LINE_LENGTH = "HTTP/1.1 200".length();

    /** {@code PlainBodyCheckTest} cuts at every byte. */
    private static final int CUT_STEP = 23;

    private final TestCluster mCluster = new TestCluster();
    private ScriptedServer mServer;

    @BeforeEach
    void start() {
        mServer = mCluster.addScriptedServer("i-1", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private static Stream<Arguments> cases() {
        return Stream.of(200, 404, 500)
                .flatMap(s -> Stream.of(Framing.values()).map(f -> Arguments.of(s, f)));
    }

    /** Answers with a body that ends with the connection, with further bytes behind it. */
    private static Answer withTrailer(int status, String id, String trailer) {
        return new Answer(
                List.of(response(Framing.CONNECTION_END, status, id), trailer), Ending.CLOSE);
    }

    private static Answer warm(String id) {
        return Answer.inOnePacket(response(Framing.LENGTH, 200, id), Ending.KEEP_OPEN);
    }

    private void call(String path, String id) {
        get(() -> mCluster.call(0, path, id, "x"))
                .ifPresent(r -> thenIsOfTheEngineOrAnError(r, id));
    }

    /** Only the first connection that a request is sent on was used before. */
    private boolean isFirstAttempt(String id) {
        return mServer.requests().stream().filter(r -> r.id().equals(id)).count() == 1;
    }

    /** Returns each length within the status line and some others; others are the unit test's. */
    private static int[] cuts(String copy) {
        return IntStream.concat(
                        IntStream.rangeClosed(1, STATUS_LINE_LENGTH),
                        IntStream.of(PlainResponses.cuts(copy, CUT_STEP)))
                .distinct()
                .toArray();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void body_onAKeptConnectionIsNotJoinedWithALateCopy(int status, Framing framing) {
        String copy = response(framing, 200, "warm");
        for (int cut : cuts(copy)) {
            mServer.onRequest(
                    r ->
                            r.id().startsWith("warm")
                                    ? warm(r.id())
                                    : withTrailer(
                                            status,
                                            r.id(),
                                            copy.substring(0, isFirstAttempt(r.id()) ? cut : 0)));
            call("/read/", "warm-" + cut);
            call("/read/", "id-" + cut);
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    void body_onANewConnectionIsNotJoinedWithASecondResponse(int status, Framing framing) {
        for (String path : List.of("/read/", "/pay/")) {
            for (int cut : cuts(response(framing, 200, "id"))) {
                if (cut >= MIN_CUT) {
                    mServer.onRequest(
                            r ->
                                    withTrailer(
                                            status,
                                            r.id(),
                                            response(framing, 200, r.id()).substring(0, cut)));
                    call(path, "id-" + cut);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 2!0 OK\r\n\r\n", "XTTP/1.1 200 OK\r\n\r\n"})
    void body_isNotJoinedWithASecondResponseWithASpoiledByte(String second) {
        mServer.onRequest(r -> withTrailer(200, r.id(), second));
        call("/pay/", "id-1");
    }

    @Test
    void body_thatWasCutIsNotFilledUpWithASecondResponse() {
        mServer.onRequest(
                r -> {
                    String whole = response(Framing.LENGTH, 200, r.id());
                    String cut = whole.substring(0, whole.length() - MIN_CUT);
                    return new Answer(List.of(cut, whole), Ending.CLOSE);
                });
        call("/pay/", "id-1");
    }

    @Test
    void body_onAKeptConnectionMayBeEmptyByItsStatus() {
        for (int status : List.of(204, 304)) {
            String head =
                    "HTTP/1.1 "
                            + status
                            + " Reason\r\nX-Fescuehollow-Server-Seal: s\r\n"
                            + "X-Fescuehollow-Attempt-Id: ";
            mServer.onRequest(
                    r ->
                            r.id().startsWith("warm")
                                    ? warm(r.id())
                                    : Answer.inOnePacket(
                                            head + r.id() + "\r\n\r\n", Ending.KEEP_OPEN));
            call("/read/", "warm-" + status);
            then(mCluster.call(0, "/read/", "id-" + status, "x").statusCode()).isEqualTo(status);
        }
    }

    @Test
    void body_thatEndsWithANewConnectionAndLooksLittleLikeAResponseIsDelivered() {
        String text = "HTTP and HTTP/2, 200 OK, HTTP";
        mServer.onRequest(
                r ->
                        Answer.inPacketsOf(
                                7,
                                Framing.CONNECTION_END.frame(
                                        "HTTP/1.1 200 OK\r\nX-Fescuehollow-Server-Seal: s\r\n"
                                                + "X-Fescuehollow-Attempt-Id: "
                                                + r.id()
                                                + "\r\n",
                                        text),
                                Ending.CLOSE));
        then(mCluster.call(0, "/pay/", "id-1", "x").body()).isEqualTo(text);
    }
}
