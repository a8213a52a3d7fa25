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
 * A fake of the platform's configuration service: serves values by path and revision, with long
 * polls.
 *
 * <p>Values may be published and deleted from any thread. Requests are counted so that tests can
 * limit the load on the service.
 */
public final class SettingsStandIn extends StandInServer {
    private final Map<String, JsonObject> mEntries = new TreeMap<>();
    private final LongPollQueue mPolls;
    private final AtomicLong mCalls = new AtomicLong();
    private long mRevision;

    /**
     * Creates the stand-in.
     *
     * @param vertx the Vert.x instance that runs the event loop
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
     * @return the revision of the value
     */
    public long publish(String path, String yaml) {
        return put(path, yaml);
    }

    /**
     * Deletes a value.
     *
     * @param path the path
     * @return the revision of the deletion
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
     * Returns the number of requests received.
     *
     * @return the count since creation
     */
    public long calls() {
        return mCalls.get();
    }

    @Override
    protected void handle(HttpServerRequest request, Buffer body) {
        mCalls.incrementAndGet();
        long after = Long.parseLong(request.getParam("after", "0"));
        long waitMillis = Long.parseLong(request.getParam("wait_ms", "0"));
        if (revision() > after || waitMillis == 0) {
            sendJson(request, 200, page(after));
        } else {
            mPolls.await(waitMillis, () -> sendJson(request, 200, page(after)));
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
