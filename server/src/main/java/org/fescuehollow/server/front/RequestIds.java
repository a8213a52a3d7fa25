package org.fescuehollow.server.front;

import io.vertx.core.http.HttpServerRequest;
import java.util.UUID;
import java.util.regex.Pattern;

/** Reads and makes the ids that follow a request. Stateless and safe for use by any thread. */
final class RequestIds {
    static final String HEADER = "X-Request-Id";
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
    private static final Pattern TRACE_PARENT =
            Pattern.compile("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");

    private RequestIds() {}

    static String of(HttpServerRequest request) {
        String given = request.getHeader(HEADER);
        return given != null && ALLOWED.matcher(given).matches()
                ? given
                : UUID.randomUUID().toString();
    }

    static String traceParent(HttpServerRequest request) {
        String given = request.getHeader("traceparent");
        return given != null && TRACE_PARENT.matcher(given).matches() ? given : "";
    }
}
