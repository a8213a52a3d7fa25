package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server that runs the requests on its first connection and keeps it open; once it is used again,
 * the server first writes a refusal of an earlier request on it. Requests on other connections are
 * refused.
 */
public final class RepeatedRefusalServer {
    private static final Pattern ID =
            Pattern.compile("x-fescuehollow-attempt-id: *([^\r\n]+)", Pattern.CASE_INSENSITIVE);

    private final NetServer mServer;
    private final AtomicInteger mRefusals = new AtomicInteger();
    private final AtomicInteger mConnections = new AtomicInteger();
    private volatile String mRefusal = "";

    RepeatedRefusalServer(Vertx vertx) {
        mServer = vertx.createNetServer().connectHandler(this::onConnection);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    int port() {
        return mServer.actualPort();
    }

    /** Sets the status line and the headers of the refusal, with a line break after each. */
    public void setRefusal(String head) {
        mRefusal = head + "Content-Length: 0\r\n\r\n";
    }

    /** Returns how many refusals the server has written. */
    public int refusals() {
        return mRefusals.get();
    }

    private void onConnection(NetSocket socket) {
        boolean isFirst = mConnections.getAndIncrement() == 0;
        boolean[] used = new boolean[1];
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
                    if (!isFirst) {
                        socket.write(refusalOf(id.group(1)));
                        return;
                    }
                    if (used[0]) {
                        mRefusals.incrementAndGet();
                        socket.write(mRefusal);
                    }
                    used[0] = true;
                    socket.write(response(id.group(1)));
                });
    }

    private static String refusalOf(String id) {
        return "HTTP/1.1 503 Busy\r\nX-Fescuehollow-Not-Executed: 1\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static String response(String id) {
        return "HTTP/1.1 200 OK\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
    }
}
