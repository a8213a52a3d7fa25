package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands in for the platform's configuration service: paths with revisions, read and watched.
 *
 * <p>Publishing is safe from any thread; it counts calls so that tests can bound the load.
 */
public final class SettingsStandIn extends StandInServer {
    private final Map<String, JsonObject> mEntries = new TreeMap<>();
    private final LongPollQueue mPolls;
    private final AtomicLong mCalls = new AtomicLong();
    private long mRevision;

    /**
     * Creates the stand-in.
     *
     * @param vertx runs its event loop
     */
    public SettingsStandIn(Vertx vertx) {
        super(vertx);
        mPolls = new LongPollQueue(vertx);
    }

    /**
     * Publishes a value.
     *
     * @param path the path
     * @param yaml the YAML text
     * @return the value's revision
     */
    public long publish(String path, String yaml) {
        return put(path, yaml);
    }

    /**
     * Deletes a value.
     *
     * @param path the path
     * @return the deletion's revision
     */
    public long delete(String path) {
        return put(path, null);
    }

    private synchronized long put(String path, String yaml) {
        long revision = ++mRevision;
        mEntries.put(
                path,
                new JsonObject().put("path", path).put("revision", revision).put("text", yaml));
        vertx().runOnContext(v -> mPolls.releaseAll());
        return revision;
    }

    /**
     * Returns how many calls came.
     *
     * @return calls since the start
     */
    public long calls() {
        return mCalls.get();
    }

    @Override
    protected void handle(HttpServerRequest request, Buffer body) {
        mCalls.incrementAndGet();
        long after = Long.parseLong(request.getParam("after", "0"));
        long wait = Long.parseLong(request.getParam("wait_ms", "0"));
        if (revision() > after || wait == 0) {
            sendJson(request, 200, page(after));
        } else {
            mPolls.await(wait, () -> sendJson(request, 200, page(after)));
        }
    }

    private synchronized long revision() {
        return mRevision;
    }

    private synchronized JsonObject page(long after) {
        JsonArray entries = new JsonArray();
        mEntries.values().stream().filter(e -> e.getLong("revision") > after).forEach(entries::add);
        return new JsonObject().put("revision", mRevision).put("entries", entries);
    }
}
