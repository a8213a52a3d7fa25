package org.fescuehollow.gateway.testsupport;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A fake engine or plain server. Tests can set how it responds to requests; it handles orders and
 * reports itself.
 */
public final class EngineStandIn {
    /** The Unix time at which all stand-ins claim to have started. */
    public static final long STARTED_MILLIS = 1_000;

    /** A request that the server received. */
    public record ReceivedRequest(String id, String uri, String body, MultiMap headers) {}

    private final String mId;
    private final String mService;
    private final HttpServer mServer;
    private final List<ReceivedRequest> mReceivedRequests =
            Collections.synchronizedList(new ArrayList<>());
    private final List<String> mOrders = Collections.synchronizedList(new ArrayList<>());
    private final Set<String> mAdapters = Collections.synchronizedSet(new LinkedHashSet<>());
    private volatile BiConsumer<ReceivedRequest, HttpServerRequest> mRequestHandler =
            this::answerOk;
    private volatile int mOrderCount;

    public EngineStandIn(Vertx vertx, String id, String service) {
        mId = id;
        mService = service;
        mServer = vertx.createHttpServer().requestHandler(this::readBody);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    public String id() {
        return mId;
    }

    public String entry() {
        return entry(mService, mServer.actualPort(), models());
    }

    public String drainingEntry() {
        return new JsonObject(entry()).put("state", "draining").encode();
    }

    static String entry(String service, int port, JsonArray models) {
        return new JsonObject()
                .put("service", service)
                .put("address", "127.0.0.1:" + port)
                .put("zone", "north")
                .put("slots", 8)
                .put("state", "ready")
                .put("seq-no", 0)
                .put("born", STARTED_MILLIS)
                .put("models", models)
                .encode();
    }

    private JsonArray models() {
        return models(new JsonArray(mAdapters.stream().map(a -> a + "@1").toList()));
    }

    static JsonArray baseModelOnly() {
        return models(new JsonArray());
    }

    private static JsonArray models(JsonArray adapters) {
        return new JsonArray()
                .add(new JsonObject().put("name", "m").put("version", 1).put("adapters", adapters));
    }

    public void onRequest(BiConsumer<ReceivedRequest, HttpServerRequest> handler) {
        mRequestHandler = handler;
    }

    public List<ReceivedRequest> receivedRequests() {
        return List.copyOf(mReceivedRequests);
    }

    public List<String> orders() {
        return List.copyOf(mOrders);
    }

    private void readBody(HttpServerRequest request) {
        request.body().onSuccess(b -> handle(request, b));
    }

    private void handle(HttpServerRequest request, Buffer body) {
        if (request.path().endsWith("/order")) {
            handleOrder(request, body.toJsonObject());
        } else if (request.path().endsWith("/report")) {
            JsonObject report = new JsonObject().put("models", models()).put("seq-no", mOrderCount);
            request.response().end(report.put("born", STARTED_MILLIS).encode());
        } else {
            String id = request.getHeader("X-Fescuehollow-Attempt-Id");
            ReceivedRequest received =
                    new ReceivedRequest(id, request.uri(), body.toString(), request.headers());
            mReceivedRequests.add(received);
            mRequestHandler.accept(received, request);
        }
    }

    private void handleOrder(HttpServerRequest request, JsonObject order) {
        String adapter = order.getString("adapter", "");
        mOrders.add(order.getString("holder") + " " + order.getString("op") + " " + adapter);
        boolean changes =
                order.getString("op").equals("loading")
                        ? mAdapters.add(adapter)
                        : mAdapters.remove(adapter);
        mOrderCount += changes ? 1 : 0;
        request.response().setStatusCode(200).end();
    }

    public void answerOk(ReceivedRequest received, HttpServerRequest request) {
        String text = "answer of " + mId + " to " + received.body();
        boolean stream = mService.equals("llm");
        startResponse(received, request).end(stream ? "id: 1\ndata: " + text + "\n\n" : text);
    }

    public HttpServerResponse startResponse(ReceivedRequest received, HttpServerRequest request) {
        return request.response()
                .putHeader("X-Fescuehollow-Attempt-Id", received.id())
                .putHeader("X-Fescuehollow-Server-Seal", "seal-" + mId);
    }

    public void refuse(ReceivedRequest received, HttpServerRequest request) {
        request.response()
                .setStatusCode(503)
                .putHeader("X-Fescuehollow-Not-Executed", "1")
                .putHeader("X-Fescuehollow-Attempt-Id", received.id())
                .end();
    }

    public void answerAndDrop(ReceivedRequest received, HttpServerRequest request) {
        startResponse(received, request)
                .end("answer of " + mId)
                .onComplete(r -> request.connection().close());
    }

    /**
     * Streams the first of three events, then runs an action. If the request resumes after the
     * first event, streams the other two.
     */
    public void streamOneEvent(
            ReceivedRequest received,
            HttpServerRequest request,
            Consumer<HttpServerResponse> next) {
        HttpServerResponse response = startResponse(received, request).setChunked(true);
        if ("1".equals(received.headers().get("Last-Event-Id"))) {
            response.end("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        } else {
            response.write("id: 1\ndata: a\n\n").onSuccess(v -> next.accept(response));
        }
    }

    /** Closes all connections and accepts no more, as a process that has crashed. */
    public void crash() {
        mServer.close();
    }

    public void dropConnection(ReceivedRequest received, HttpServerRequest request) {
        request.connection().close();
    }
}
