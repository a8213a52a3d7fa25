package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A fake plain service: echoes each request and counts executions by request body.
 *
 * <p>A request whose path starts with {@code /break} is executed, but the connection is closed
 * without a response. Requests are handled on one event loop; the counts may be read from any
 * thread.
 */
public final class PlainServiceStandIn extends StandInServer {
    private final Map<String, Integer> mExecuted = new ConcurrentHashMap<>();

    /**
     * Creates the stand-in.
     *
     * @param vertx the Vert.x instance that runs the event loop
     */
    public PlainServiceStandIn(Vertx vertx) {
        super(vertx);
    }

    /**
     * Returns how often a request with this body was executed.
     *
     * @param body the request body
     * @return the count since creation
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
