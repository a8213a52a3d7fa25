package org.fescuehollow.gateway.training;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/**
 * A server on the loopback address that stands for the platform's store and the backend servers: it
 * gives the first canned response whose URI part matches.
 *
 * <p>Used on one event loop.
 */
final class CannedServer {
    private static final Pattern BASE64 = Pattern.compile("BASE64\\(([a-z.]+)\\)");
    private static final Pattern FILE = Pattern.compile("FILE\\(([a-z.]+)\\)");

    private final Vertx mVertx;
    private final HttpServer mServer;
    private final AtomicInteger mOrders = new AtomicInteger();
    private final JsonArray mResponses = new JsonArray(TrainingResources.read("responses.json"));

    CannedServer(Vertx vertx) {
        mVertx = vertx;
        mServer = vertx.createHttpServer().requestHandler(this::respond);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    int port() {
        return mServer.actualPort();
    }

    /** Returns how many orders the server received; safe for use by any thread. */
    int orders() {
        return mOrders.get();
    }

    private void respond(HttpServerRequest request) {
        if (request.path().endsWith("/order")) {
            mOrders.incrementAndGet();
        }
        JsonObject canned =
                mResponses.stream()
                        .map(JsonObject.class::cast)
                        .filter(r -> request.uri().contains(r.getString("uri")))
                        .findFirst()
                        .orElseThrow();
        HttpServerResponse response =
                request.response().setStatusCode(canned.getInteger("status", 200));
        canned.getJsonObject("headers", new JsonObject())
                .forEach(h -> response.putHeader(h.getKey(), h.getValue().toString()));
        canned.getJsonArray("echo", new JsonArray()).stream()
                .map(Object::toString)
                .filter(h -> request.getHeader(h) != null)
                .forEach(h -> response.putHeader(h, request.getHeader(h)));
        String body = resolve(canned.getString("body"));
        mVertx.setTimer(canned.getInteger("delayMillis", 1), t -> response.end(body));
    }

    private String resolve(String body) {
        String inlined =
                FILE.matcher(body).replaceAll(m -> document(m.group(1)).replace("\\", "\\\\"));
        return BASE64.matcher(inlined)
                .replaceAll(
                        m ->
                                Base64.getEncoder()
                                        .encodeToString(
                                                document(m.group(1))
                                                        .getBytes(StandardCharsets.UTF_8)));
    }

    private String document(String name) {
        return TrainingResources.read(name).replace("PORT", Integer.toString(port()));
    }
}
