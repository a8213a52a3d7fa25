package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against attempts that fail, or get the response of another request, because of bytes that
 * came on their connection while it was idle, and against lines of a head that are no fields.
 */
class IdleBytesTest {
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

    private static String response(String id) {
        String fields =
                "X-Fescuehollow-Attempt-Id: " + id + "\r\nX-Fescuehollow-Server-Seal: s\r\n";
        return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok";
    }

    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 OK\r\nX-At", "\u0000", "junk\r\n", "\r\n"})
    void bytes_onAnIdleConnectionCostNoAttempt(String late) {
        mServer.onRequest(r -> new Answer(List.of(response(r.id()), late), Ending.KEEP_OPEN));
        for (int i = 0; i < 5; i++) {
            then(mCluster.call(0, "/read/", "id-" + i, "x").body()).isEqualTo("ok");
            TestCluster.await(mServer::isIdle);
        }
        then(mServer.requests()).hasSize(5);
    }

    @Test
    void connection_isUsedAgainIfNothingCameWhileItWasIdle() {
        mServer.onRequest(r -> Answer.inPacketsOf(7, response(r.id()), Ending.KEEP_OPEN));
        for (int i = 0; i < 5; i++) {
            then(mCluster.call(0, "/read/", "id-" + i, "x").body()).isEqualTo("ok");
        }
        then(mServer.connections()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nDat HTTP/1.1 404 Not Found\r\n",
                "HTTP/1.1 200 OK\r\na b HTTP/1.1 404 Not Found\r\n",
                "HTTP/1.1 200 OK\r\nDate. Sun, 06 Dec 2026 0HTTP/1.1 404 Not Found\r\n",
                "HTTP/1.1 200 OK\r\n\t\r\nX TTP/1.1 404 Not Found\r\n",
                "HTTP/1.1 +200 OK\r\n",
                "HTTP/1.1 0200 OK\r\n"
            })
    void line_thatIsNoFieldIsNoPartOfAResponse(String start) {
        mServer.onRequest(
                r ->
                        Answer.inOnePacket(
                                start + response(r.id()).substring("HTTP/1.1 200 OK\r\n".length()),
                                Ending.KEEP_OPEN));
        for (String path : List.of("/read/", "/pay/")) {
            then(mCluster.call(0, path, "id" + path.charAt(1), "x").statusCode()).isEqualTo(502);
        }
    }
}
