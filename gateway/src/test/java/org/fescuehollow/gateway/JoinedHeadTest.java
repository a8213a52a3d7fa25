package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.fescuehollow.gateway.testsupport.PlainResponses.cuts;
import static org.fescuehollow.gateway.testsupport.PlainResponses.get;
import static org.fescuehollow.gateway.testsupport.PlainResponses.response;
import static org.fescuehollow.gateway.testsupport.PlainResponses.thenIsOfTheEngineOrAnError;

import java.util.List;
import java.util.stream.Stream;
import org.fescuehollow.gateway.testsupport.PlainResponses.Framing;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a success in place of an engine's failure: a late copy of a response that is cut
 * off within its head is completed by the head of the next response on its connection.
 */
class JoinedHeadTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    /** {@code ResponseHeadsPropertyTest} cuts at every byte. */
    private static final int CUT_STEP = 5;

    private final TestCluster mCluster = new TestCluster();
    private ScriptedServer mServer;

    /** The fields of the late copy, which has a length. */
    private enum Copy {
        ID_FIRST("X-Fescuehollow-Attempt-Id: warm\r\nX-Fescuehollow-Server-Seal: w\r\n"),
        ID_LAST(
                "Server: x\r\n"
                        + "X-Fescuehollow-Server-Seal: w\r\n"
                        + "X-Fescuehollow-Attempt-Id: warm\r\n"),
        NO_ID("Server: x\r\nX-Fescuehollow-Server-Seal: w\r\n");

        private final String mFields;

        Copy(String fields) {
            mFields = fields;
        }

        String bytes() {
            return OK
                    + "Date: Sun, 06 Dec 2026 00:00:00 GMT\r\n"
                    + mFields
                    + "Content-Length: 4\r\n\r\ncopy";
        }
    }

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
        return Stream.of(Framing.values())
                .flatMap(
                        f ->
                                Stream.of(Copy.values())
                                        .flatMap(
                                                c ->
                                                        Stream.of(200, 404, 500)
                                                                .map(s -> Arguments.of(f, c, s))));
    }

    private void call(String path, String id) {
        get(() -> mCluster.call(0, path, id, "x"))
                .ifPresent(r -> thenIsOfTheEngineOrAnError(r, id));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void response_onAKeptConnectionIsNotJoinedWithACutCopy(Framing framing, Copy copy, int status) {
        String bytes = copy.bytes();
        for (int cut : cuts(bytes, CUT_STEP)) {
            // GIVEN a connection on which a copy of the last response came late, and not whole
            String late = bytes.substring(0, cut);
            String warm = "warm-" + cut;
            mServer.onRequest(
                    r ->
                            r.id().startsWith("warm")
                                    ? new Answer(
                                            List.of(response(Framing.LENGTH, 200, r.id()), late),
                                            Ending.KEEP_OPEN)
                                    : Answer.inOnePacket(
                                            response(framing, status, r.id()), framing.ending()));
            then(mCluster.call(0, "/read/", warm, "x").statusCode()).isEqualTo(200);
            TestCluster.await(mServer::isIdle);
            // WHEN the connection is used again
            // THEN nobody gets a response that the engine didn't make
            call("/read/", "id-" + cut);
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    void response_onANewConnectionIsNotJoinedWithACutCopy(Framing framing, Copy copy, int status) {
        String bytes = copy.bytes();
        for (String path : List.of("/read/", "/pay/")) {
            for (int cut : cuts(bytes, CUT_STEP)) {
                String early = bytes.substring(0, cut);
                mServer.onRequest(
                        r ->
                                Answer.inOnePacket(
                                        early + response(framing, status, r.id()), Ending.CLOSE));
                call(path, "id-" + cut);
            }
        }
    }
}
