package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A request that lasts longer than the idle timeout of its connection. */
class LongRequestTest {
    private static final int ENGINE_MILLIS = 62_000;
    private static final int CLIENT_TIMEOUT_MILLIS = 90_000;

    private final TestCluster mCluster = new TestCluster();
    private final EngineStandIn mServer = mCluster.addServer("i-1", "plain");

    @AfterEach
    void close() {
        mCluster.close();
    }

    @Test
    void request_whoseEngineWorksLongIsAnswered() throws IOException {
        mServer.onRequest(
                (received, request) ->
                        mCluster.vertx()
                                .setTimer(ENGINE_MILLIS, t -> mServer.answerOk(received, request)));
        mCluster.configure(1);
        mCluster.startNodes(1);
        String request =
                "POST /read/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Fescuehollow-Attempt-Id: id-1\r\n"
                        + "X-Fescuehollow-Deadline-Ms: 100000\r\nContent-Length: 1\r\n\r\nx";
        try (Socket client = new Socket("127.0.0.1", mCluster.listenPort())) {
            client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String start = "HTTP/1.1 200 OK";
            byte[] head = client.getInputStream().readNBytes(start.length());
            then(new String(head, StandardCharsets.ISO_8859_1)).isEqualTo(start);
        }
    }
}
