package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that responds to any request with a given start of a response, followed by endless
 * bytes.
 */
public final class EndlessServer {
    private static final Buffer PADDING = Buffer.buffer("x".repeat(64 * 1024));

    private final NetServer mServer;
    private final String mResponseStart;
    private final AtomicInteger mRequestedConnections = new AtomicInteger();
    private final AtomicInteger mClosedConnections = new AtomicInteger();

    EndlessServer(Vertx vertx, String responseStart) {
        mResponseStart = responseStart;
        mServer = vertx.createNetServer().connectHandler(this::onConnection);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    int port() {
        return mServer.actualPort();
    }

    /** Returns the number of connections on which the server has received bytes. */
    public int requestedConnections() {
        return mRequestedConnections.get();
    }

    /** Returns the number of closed connections. */
    public int closedConnections() {
        return mClosedConnections.get();
    }

    private void onConnection(NetSocket socket) {
        socket.closeHandler(v -> mClosedConnections.incrementAndGet());
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                b -> {
                    socket.handler(more -> {});
                    mRequestedConnections.incrementAndGet();
                    socket.write(mResponseStart);
                    flood(socket);
                });
    }

    private void flood(NetSocket socket) {
        socket.write(PADDING).onSuccess(v -> flood(socket));
    }
}
