package org.fescuehollow.server.front;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.fescuehollow.error.Problem;
import org.fescuehollow.server.platform.Json;

/**
 * Writes problems in the form of RFC 9457. Stateless and safe for use by any thread.
 *
 * <p>The extension member {@code ran} tells whether the request ran; {@code code} is stable. The
 * member {@code error} repeats the problem in the form that clients of the OpenAI interface print.
 */
public final class ProblemWriter {
    /** The content type of a problem document. */
    public static final String CONTENT_TYPE = "application/problem+json";

    private static final int SERVER_ERROR = 500;
    private static final String CALLERS = "invalid_request_error";
    private static final String SERVERS = "server_error";

    private ProblemWriter() {}

    /**
     * Writes a problem document.
     *
     * @param problem the problem
     * @param requestId the request's id
     * @return JSON
     */
    public static Buffer write(Problem problem, String requestId) {
        ObjectNode body = Json.object();
        body.put("type", "urn:fescuehollow:problem:" + problem.code().wireName());
        body.put("title", problem.code().wireName().replace('_', ' '));
        body.put("status", problem.code().status());
        body.put("detail", problem.detail());
        body.put("code", problem.code().wireName());
        body.put("ran", problem.runState().wireName());
        body.put("remedy", problem.remedy());
        body.put("request_id", requestId);
        problem.retryAfterSeconds().ifPresent(s -> body.put("retry_after", s));
        problem.ticket().ifPresent(t -> body.put("ticket", t));
        body.putObject("error")
                .put("message", problem.detail() + "; " + problem.remedy())
                .put("type", problem.code().status() < SERVER_ERROR ? CALLERS : SERVERS)
                .put("code", problem.code().wireName())
                .putNull("param");
        return Json.write(body);
    }

    /**
     * Answers a request with a problem.
     *
     * @param response the response, not yet begun
     * @param problem the problem
     * @param requestId the request's id
     */
    public static void answer(HttpServerResponse response, Problem problem, String requestId) {
        response.setStatusCode(problem.code().status());
        response.putHeader("Content-Type", CONTENT_TYPE);
        problem.retryAfterSeconds().ifPresent(s -> response.putHeader("Retry-After", "" + s));
        response.end(write(problem, requestId));
    }
}
