package org.fescuehollow.server;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Random;
import org.fescuehollow.server.testsupport.Caller;
import org.fescuehollow.server.testsupport.OneNode;
import org.junit.jupiter.api.Test;

class GarbageTest {
    @Test
    void garbage_onEveryPortCostsNobodyElseAnything() throws IOException {
        try (OneNode node = new OneNode(1)) {
            // GIVEN
            Random random = new Random(20_261_204);
            List<Integer> ports =
                    List.of(
                            node.server().callersPort(),
                            node.server().adminPort(),
                            node.server().peerPort());
            // WHEN
            for (int i = 0; i < 60; i++) {
                byte[] bytes = new byte[1 + random.nextInt(400)];
                random.nextBytes(bytes);
                try (Socket socket = new Socket("127.0.0.1", ports.get(i % 3))) {
                    socket.getOutputStream().write(bytes);
                }
                try (DatagramSocket socket = new DatagramSocket()) {
                    InetAddress host = InetAddress.getByName("127.0.0.1");
                    socket.send(
                            new java.net.DatagramPacket(
                                    bytes, bytes.length, host, node.server().peerPort()));
                }
            }
            // THEN
            HttpResponse<String> answer =
                    node.caller().chat("profiles@v1", "still here", true).join();
            then(Caller.words(answer.body())).isEqualTo("profiles@v1 still here");
            then(new Caller(node.server().adminPort(), "").get("/healthz").statusCode())
                    .isEqualTo(200);
        }
    }
}
