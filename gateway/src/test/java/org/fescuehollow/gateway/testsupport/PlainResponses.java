package org.fescuehollow.gateway.testsupport;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;

/** The bytes of responses to plain requests, and what a client may get of them. Stateless. */
public final class PlainResponses {
    private static final String SEAL = "X-Fescuehollow-Server-Seal";

    /** How a response marks the end of its body. */
    public enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION_END;

        /** Returns a response of a head without its blank line, and a body. */
        public String frame(String head, String body) {
            return switch (this) {
                case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                case CHUNKS ->
                        head
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(body.length())
                                + "\r\n"
                                + body
                                + "\r\n0\r\n\r\n";
                case CONNECTION_END -> head + "\r\n" + body;
            };
        }

        public Ending ending() {
            return this == CONNECTION_END ? Ending.CLOSE : Ending.KEEP_OPEN;
        }
    }

    private PlainResponses() {}

    /** Returns the body of the response with a status to a request. */
    public static String body(int status, String id) {
        return status + " for " + id;
    }

    /** Returns a response whose seal is the id of the request. */
    public static String response(Framing framing, int status, String id) {
        return framing.frame(
                "HTTP/1.1 "
                        + status
                        + " Reason\r\nX-Fescuehollow-Attempt-Id: "
                        + id
                        + "\r\n"
                        + SEAL
                        + ": "
                        + id
                        + "\r\n",
                body(status, id));
    }

    /** Returns the lengths at which to cut a text, the last of which is its whole length. */
    public static int[] cuts(String bytes, int step) {
        return IntStream.concat(
                        IntStream.iterate(1, c -> c < bytes.length(), c -> c + step),
                        IntStream.of(bytes.length()))
                .toArray();
    }

    /** Returns the response to a call; empty if the gateway broke the connection. */
    public static Optional<HttpResponse<String>> get(Supplier<HttpResponse<String>> call) {
        try {
            return Optional.of(call.get());
        } catch (IllegalStateException e) {
            then(e).hasCauseInstanceOf(IOException.class);
            return Optional.empty();
        }
    }

    /** A response without a seal is the gateway's own. */
    public static void thenIsOfTheEngineOrAnError(HttpResponse<String> response, String id) {
        Optional<String> seal = response.headers().firstValue(SEAL);
        if (seal.isEmpty()) {
            then(response.statusCode()).isIn(500, 502, 504);
            return;
        }
        then(seal).hasValue(id);
        then(response.body()).isEqualTo(body(response.statusCode(), id));
        then(response.headers().map().keySet()).noneMatch(n -> n.contains("http"));
    }
}
