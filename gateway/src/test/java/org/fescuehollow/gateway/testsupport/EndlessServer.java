package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server that responds to any request with a given start of a response, followed by the same
 * bytes again and again. It stops at a limit, so that a caller that keeps them all harms no other
 * process.
 */
public final class EndlessServer {
    /** Stands in a response for the id of the attempt that it responds to. */
    public static final String ID = "%ID%";

    /** The bytes that a connection receives if its caller doesn't close it. */
    public static final long MAX_BYTES = 64L * 1024 * 1024;

    private static final int WRITE_BYTES = 64 * 1024;
    private static final Pattern ID_HEADER =
            Pattern.compile("x-fescuehollow-attempt-id: *([^\r\n]+)", Pattern.CASE_INSENSITIVE);

    /**
     * What a server sends.
     *
     * @param start the start of each response
     * @param filler the bytes that follow it again and again
     * @param pauseMillis the pause between two fillers; 0 to send as fast as the caller reads
     */
    public record Script(String start, String filler, long pauseMillis) {
        public static Script flood(String start, String filler) {
            return new Script(start, filler, 0);
        }
    }

    private final Vertx mVertx;
    private final NetServer mServer;
    private final Script mScript;
    private final Buffer mFiller;
    private final AtomicInteger mRequestedConnections = new AtomicInteger();
    private final AtomicInteger mClosedConnections = new AtomicInteger();
    private final AtomicLong mMostBytes = new AtomicLong();

    EndlessServer(Vertx vertx, Script script) {
        mVertx = vertx;
        mScript = script;
        int repeats = script.pauseMillis() > 0 ? 1 : WRITE_BYTES / script.filler().length();
        mFiller = Buffer.buffer(script.filler().repeat(repeats));
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

    /** Returns whether the callers have closed all connections, of which there is one at least. */
    public boolean isClosedByCallers() {
        return requestedConnections() > 0 && closedConnections() == requestedConnections();
    }

    /** Returns the most bytes that were sent on one connection. */
    public long mostBytes() {
        return mMostBytes.get();
    }

    private void onConnection(NetSocket socket) {
        StringBuilder received = new StringBuilder();
        socket.closeHandler(v -> mClosedConnections.addAndGet(received.length() > 0 ? 1 : 0));
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                b -> {
                    boolean first = received.length() == 0;
                    received.append(b);
                    if (first) {
                        mRequestedConnections.incrementAndGet();
                        Matcher id = ID_HEADER.matcher(received);
                        socket.write(mScript.start().replace(ID, id.find() ? id.group(1) : ""));
                        send(socket, 0);
                    }
                });
    }

    private void send(NetSocket socket, long sentBytes) {
        mMostBytes.accumulateAndGet(sentBytes, Math::max);
        if (sentBytes < MAX_BYTES) {
            socket.write(mFiller).onSuccess(v -> sendNext(socket, sentBytes + mFiller.length()));
        }
    }

    private void sendNext(NetSocket socket, long sentBytes) {
        if (mScript.pauseMillis() == 0) {
            send(socket, sentBytes);
        } else {
            mVertx.setTimer(mScript.pauseMillis(), t -> send(socket, sentBytes));
        }
    }
}
