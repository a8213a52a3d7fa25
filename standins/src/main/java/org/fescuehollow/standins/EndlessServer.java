package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that responds to any request with a given start of a response, followed by the same
 * bytes again and again. It stops at a limit, so that a caller that keeps them all harms no other
 * process.
 *
 * <p>Connections are handled on one event loop; the counts may be read from any thread.
 */
public final class EndlessServer {
    /** Number of bytes that a connection receives if its caller doesn't close it. */
    public static final long MAX_BYTES = 64L * 1024 * 1024;

    private final Vertx mVertx;
    private final NetServer mServer;
    private final String mStart;
    private final Buffer mFiller;
    private final long mPauseMillis;
    private final AtomicInteger mOpened = new AtomicInteger();
    private final AtomicInteger mClosed = new AtomicInteger();
    private final AtomicLong mBytes = new AtomicLong();

    /**
     * Starts a server on a loopback port that the system chooses.
     *
     * @param vertx the Vert.x instance that runs the event loop
     * @param start the start of each response
     * @param filler the bytes that follow it again and again
     * @param pauseMillis the pause between two fillers; zero to send as fast as the callers read
     */
    public EndlessServer(Vertx vertx, String start, String filler, long pauseMillis) {
        mVertx = vertx;
        mStart = start;
        mFiller = Buffer.buffer(filler);
        mPauseMillis = pauseMillis;
        mServer = vertx.createNetServer().connectHandler(this::onConnection);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    /**
     * Returns the port.
     *
     * @return the bound port
     */
    public int port() {
        return mServer.actualPort();
    }

    /**
     * Returns whether the callers have closed all connections.
     *
     * @return false also if there was no connection yet
     */
    public boolean isClosedByCallers() {
        return mOpened.get() > 0 && mClosed.get() == mOpened.get();
    }

    /**
     * Returns how many connections were opened, also those that are closed by now.
     *
     * @return the number of connections
     */
    public int openedConnections() {
        return mOpened.get();
    }

    /**
     * Returns how much was sent on all connections.
     *
     * @return the number of bytes, without the starts of responses
     */
    public long sentBytes() {
        return mBytes.get();
    }

    private void onConnection(NetSocket socket) {
        mOpened.incrementAndGet();
        socket.closeHandler(v -> mClosed.incrementAndGet());
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                b -> {
                    socket.handler(more -> {});
                    socket.write(mStart);
                    send(socket, 0);
                });
    }

    private void send(NetSocket socket, long sentBytes) {
        if (sentBytes < MAX_BYTES) {
            socket.write(mFiller).onSuccess(v -> onSent(socket, sentBytes + mFiller.length()));
        }
    }

    private void onSent(NetSocket socket, long sentBytes) {
        mBytes.addAndGet(mFiller.length());
        if (mPauseMillis == 0) {
            send(socket, sentBytes);
        } else {
            mVertx.setTimer(mPauseMillis, t -> send(socket, sentBytes));
        }
    }
}
