package org.fescuehollow.gateway.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ExchangeSocketTest {
    private static final String LOOPBACK = "127.0.0.1";

    private final Vertx mVertx = Vertx.vertx();

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void socketOptions_receiveALargeDatagramWhole() {
        // GIVEN a socket with the options that nodes use
        DatagramSocket socket = mVertx.createDatagramSocket(ExchangeService.socketOptions());
        CompletableFuture<Integer> received = new CompletableFuture<>();
        socket.handler(p -> received.complete(p.data().length()));
        socket.listen(0, LOOPBACK).toCompletionStage().toCompletableFuture().join();
        // WHEN a datagram of several kilobytes is received
        int port = socket.localAddress().port();
        socket.send(Buffer.buffer(new byte[9_000]), port, LOOPBACK);
        // THEN it is not truncated
        then(received.join()).isEqualTo(9_000);
    }
}
