package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that answers whatever it reads with a beginning and bytes without end. */
public final class EndlessServer {
    private static final Buffer MORE = Buffer.buffer("x".repeat(64 * 1024));

    private final NetServer mServer;
    private final String mBegin;
    private final AtomicInteger mReached = new AtomicInteger();
    private final AtomicInteger mClosed = new AtomicInteger();

    EndlessServer(Vertx vertx, String begin) {
        mBegin = begin;
        mServer = vertx.createNetServer().connectHandler(this::connected);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    int port() {
        return mServer.actualPort();
    }

    /** Returns the connections on which a caller has asked something. */
    public int reached() {
        return mReached.get();
    }

    /** Returns the connections that callers have closed. */
    public int closed() {
        return mClosed.get();
    }

    private void connected(NetSocket socket) {
        socket.closeHandler(v -> mClosed.incrementAndGet());
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                b -> {
                    socket.handler(more -> {});
                    mReached.incrementAndGet();
                    socket.write(mBegin);
                    flood(socket);
                });
    }

    private void flood(NetSocket socket) {
        socket.write(MORE).onSuccess(v -> flood(socket));
    }
}
