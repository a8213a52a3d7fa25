package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** A fake key-value store that can be read and watched; tests call put and remove. */
public final class StoreStandIn {
    private final Vertx mVertx;
    private final HttpServer mServer;
    private final SortedMap<String, JsonObject> mItems = new ConcurrentSkipListMap<>();
    private final List<JsonObject> mEvents = new ArrayList<>();
    private final List<String> mCalls = new ArrayList<>();
    private long mRevision = 5;
    private long mDroppedRevision;
    private int mMaxEvents = Integer.MAX_VALUE;
    private int mEra = 1;

    /** The contents of the store at some time. */
    public record Copy(Map<String, JsonObject> items, List<JsonObject> events, long revision) {}

    public StoreStandIn(Vertx vertx) {
        mVertx = vertx;
        mServer = vertx.createHttpServer().requestHandler(this::onRequest);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    public String address() {
        return "127.0.0.1:" + mServer.actualPort();
    }

    /** Keeps only so many changes from now on. */
    public synchronized void keepChanges(int count) {
        mMaxEvents = count;
        dropOldChanges();
    }

    private void addChange(JsonObject change) {
        mEvents.add(change);
        dropOldChanges();
    }

    private void dropOldChanges() {
        while (mEvents.size() > mMaxEvents) {
            mDroppedRevision = mEvents.remove(0).getLong("rev");
        }
    }

    public synchronized void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        long revision = ++mRevision;
        long created = mItems.containsKey(key) ? mItems.get(key).getLong("created") : revision;
        JsonObject item =
                new JsonObject()
                        .put("key", key)
                        .put("value", Base64.getEncoder().encodeToString(bytes))
                        .put("rev", revision)
                        .put("created", created)
                        .put("lease", 0);
        mItems.put(key, item);
        addChange(item);
    }

    public synchronized void remove(String key) {
        mItems.remove(key);
        addChange(new JsonObject().put("key", key).put("rev", ++mRevision).put("tombstone", true));
    }

    /** Returns the revision of the newest change. */
    public synchronized long revision() {
        return mRevision;
    }

    /** Returns the URIs of all calls in order. */
    public synchronized List<String> calls() {
        return List.copyOf(mCalls);
    }

    public synchronized Copy copy() {
        return new Copy(Map.copyOf(mItems), List.copyOf(mEvents), mRevision);
    }

    /** Loses everything that was written after a copy; revisions are given out again. */
    public synchronized void returnTo(Copy copy) {
        mItems.clear();
        mItems.putAll(copy.items());
        mEvents.clear();
        mEvents.addAll(copy.events());
        mRevision = copy.revision();
        mDroppedRevision = Math.min(mDroppedRevision, mRevision);
        mEra++;
    }

    private synchronized String era() {
        return Integer.toString(mEra);
    }

    private synchronized boolean isKept(long after) {
        return after >= mDroppedRevision;
    }

    private synchronized void addCall(String uri) {
        mCalls.add(uri);
    }

    private void onRequest(HttpServerRequest request) {
        addCall(request.uri());
        String prefix = request.getParam("prefix");
        if (request.path().endsWith("kv-range")) {
            respond(request, range(prefix));
        } else {
            long after = Long.parseLong(request.getParam("after"));
            watch(request, prefix, after, Long.parseLong(request.getParam("wait-ms")));
        }
    }

    private synchronized JsonObject range(String prefix) {
        List<JsonObject> items =
                mItems.values().stream()
                        .filter(i -> i.getString("key").startsWith(prefix))
                        .toList();
        return new JsonObject()
                .put("items", new JsonArray(items))
                .put("truncated", false)
                .put("store-revision", mRevision);
    }

    private synchronized JsonObject changes(String prefix, long after) {
        List<JsonObject> events =
                mEvents.stream()
                        .filter(e -> e.getLong("rev") > after)
                        .filter(e -> e.getString("key").startsWith(prefix))
                        .toList();
        return new JsonObject()
                .put("events", new JsonArray(events))
                .put("store-revision", mRevision);
    }

    private void respond(HttpServerRequest request, JsonObject body) {
        request.response().putHeader("Store-Era", era()).end(body.encode());
    }

    private void watch(HttpServerRequest request, String prefix, long after, long waitMillis) {
        if (!isKept(after)) {
            request.response().setStatusCode(410).putHeader("Store-Era", era()).end();
            return;
        }
        JsonObject changes = changes(prefix, after);
        if (waitMillis <= 0 || !changes.getJsonArray("events").isEmpty()) {
            respond(request, changes);
        } else {
            mVertx.setTimer(20, t -> watch(request, prefix, after, waitMillis - 20));
        }
    }
}
