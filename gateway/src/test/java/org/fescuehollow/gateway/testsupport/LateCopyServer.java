package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server that keeps connections open and, once a connection is used again, first sends another
 * copy of the previous response on it.
 */
public final class LateCopyServer {
    private static final Pattern ID =
            Pattern.compile("x-fescuehollow-attempt-id: *([^\r\n]+)", Pattern.CASE_INSENSITIVE);

    private final NetServer mServer;
    private final AtomicInteger mCopies = new AtomicInteger();

    LateCopyServer(Vertx vertx) {
        mServer = vertx.createNetServer().connectHandler(this::onConnection);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    int port() {
        return mServer.actualPort();
    }

    /** Returns how many copies the server has sent. */
    public int copies() {
        return mCopies.get();
    }

    private void onConnection(NetSocket socket) {
        String[] previous = new String[1];
        StringBuilder received = new StringBuilder();
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                b -> {
                    received.append(b);
                    Matcher id = ID.matcher(received.toString());
                    // Requests of the test have a body of one byte after the blank line.
                    if (!id.find() || !received.toString().matches("(?s).*\r\n\r\n.")) {
                        return;
                    }
                    received.setLength(0);
                    if (previous[0] != null) {
                        mCopies.incrementAndGet();
                        socket.write(previous[0]);
                    }
                    previous[0] = response(id.group(1));
                    socket.write(previous[0]);
                });
    }

    private static String response(String id) {
        String body = "answer to " + id;
        return "HTTP/1.1 200 OK\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: seal\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
