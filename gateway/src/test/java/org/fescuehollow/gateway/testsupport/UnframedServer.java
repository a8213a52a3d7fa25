package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A server that sends responses with neither a length nor chunks and closes the connection. */
public final class UnframedServer {
    private static final Pattern ID =
            Pattern.compile("x-fescuehollow-attempt-id: *([^\r\n]+)", Pattern.CASE_INSENSITIVE);

    private final NetServer mServer;
    private volatile String mBody = "";

    UnframedServer(Vertx vertx) {
        mServer = vertx.createNetServer().connectHandler(this::onConnection);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    int port() {
        return mServer.actualPort();
    }

    /** Sets what the server sends after the head of each response, before it closes. */
    public void setBody(String body) {
        mBody = body;
    }

    private void onConnection(NetSocket socket) {
        StringBuilder received = new StringBuilder();
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                b -> {
                    received.append(b);
                    Matcher id = ID.matcher(received.toString());
                    // Requests of the tests have a body of one byte after the blank line.
                    if (id.find() && received.toString().matches("(?s).*\r\n\r\n.")) {
                        socket.write(head(id.group(1)) + mBody).onComplete(r -> socket.close());
                    }
                });
    }

    private static String head(String id) {
        return "HTTP/1.1 200 OK\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: seal\r\n\r\n";
    }
}
