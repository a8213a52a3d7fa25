package org.fescuehollow.server.loop;

import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.responses.HeadDefect;
import org.fescuehollow.responses.ResponseHeadCheck;

/**
 * Checks the heads of responses of backend servers and platform services. Servers need not repeat
 * the attempt's id, but a response that has one must have the right one. A request id proves
 * nothing, as some servers make one of their own. Stateless.
 */
public final class ResponseHeads {
    /** Header that carries the attempt. */
    public static final String ATTEMPT_HEADER = "X-Attempt-Id";

    /** Header that carries the request id. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final ResponseHeadCheck CHECK =
            new ResponseHeadCheck(ATTEMPT_HEADER, Set.of(REQUEST_ID_HEADER));

    private ResponseHeads() {}

    /**
     * Returns what keeps the head of a response from being that of the response to a request.
     *
     * @param response the response
     * @param attempt the attempt's id; empty if the request was sent without one
     * @return the defect; empty if the head is sound
     */
    public static Optional<HeadDefect> findDefect(HttpClientResponse response, String attempt) {
        String reason = response.statusMessage() == null ? "" : response.statusMessage();
        String expected = response.headers().contains(ATTEMPT_HEADER) ? attempt : "";
        return CHECK.findDefect(response.statusCode(), reason, response.headers(), expected);
    }
}
