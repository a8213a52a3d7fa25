package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands in for a plain service: answers what it was asked and counts what it executed.
 *
 * <p>Paths that start with {@code /break} execute the call and break the connection in place of an
 * answer. Used on one event loop; the records are safe for any thread.
 */
public final class PlainServiceStandIn extends StandInServer {
    private final Map<String, Integer> mExecuted = new ConcurrentHashMap<>();

    /**
     * Creates the stand-in.
     *
     * @param vertx runs its event loop
     */
    public PlainServiceStandIn(Vertx vertx) {
        super(vertx);
    }

    /**
     * Returns how often a body was executed.
     *
     * @param body the request body
     * @return the count since the start
     */
    public int executions(String body) {
        return mExecuted.getOrDefault(body, 0);
    }

    @Override
    protected void handle(HttpServerRequest request, Buffer body) {
        mExecuted.merge(body.toString(), 1, Integer::sum);
        if (request.path().startsWith("/break")) {
            request.connection().close();
            return;
        }
        sendJson(
                request,
                200,
                new JsonObject()
                        .put("method", request.method().name())
                        .put("path", request.path())
                        .put("body", body.toString())
                        .put("traceparent", request.getHeader("traceparent")));
    }
}
