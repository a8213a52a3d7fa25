package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for the weight store: a load takes its time while few are in transit, and longer
 * beyond.
 *
 * <p>Used on one event loop; the counters are safe for any thread.
 */
public final class StoreStandIn extends StandInServer {
    private static final int FULL_SPEED_LOADS = 8;

    private final long mLoadMillis;
    private final AtomicInteger mInTransit = new AtomicInteger();
    private final AtomicInteger mMaxInTransit = new AtomicInteger();
    private final AtomicInteger mLoads = new AtomicInteger();
    private volatile boolean mFailing;

    /**
     * Creates the stand-in.
     *
     * @param vertx runs its event loop
     * @param loadMillis the time of one load in milliseconds
     */
    public StoreStandIn(Vertx vertx, long loadMillis) {
        super(vertx);
        mLoadMillis = loadMillis;
    }

    /**
     * Lets all loads fail, or succeed again.
     *
     * @param failing true to fail
     */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    /**
     * Returns the most loads that were in transit at once.
     *
     * @return the maximum since the start
     */
    public int maxInTransit() {
        return mMaxInTransit.get();
    }

    /**
     * Returns how many loads were asked for.
     *
     * @return the count since the start
     */
    public int loads() {
        return mLoads.get();
    }

    @Override
    protected void handle(HttpServerRequest request, Buffer body) {
        mLoads.incrementAndGet();
        int now = mInTransit.incrementAndGet();
        mMaxInTransit.accumulateAndGet(now, Math::max);
        long millis = mLoadMillis * Math.max(1, now) / FULL_SPEED_LOADS;
        vertx().setTimer(
                        Math.max(1, Math.max(mLoadMillis, millis)),
                        t -> {
                            mInTransit.decrementAndGet();
                            sendJson(request, mFailing ? 500 : 200, new JsonObject());
                        });
    }
}
