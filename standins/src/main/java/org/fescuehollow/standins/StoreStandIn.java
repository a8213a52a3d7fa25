package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fake weight store: above a number of concurrent loads, each load takes longer, in proportion to
 * the loads in transit.
 *
 * <p>Requests are handled on one event loop; the counters and the failure switch are safe for any
 * thread.
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
     * @param vertx the Vert.x instance that runs the event loop
     * @param loadMillis duration of a load at full speed in milliseconds
     */
    public StoreStandIn(Vertx vertx, long loadMillis) {
        super(vertx);
        mLoadMillis = loadMillis;
    }

    /**
     * Sets whether loads fail with status 500 when they end.
     *
     * @param failing true to fail all loads
     */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    /**
     * Returns the maximum number of concurrent loads.
     *
     * @return the maximum since creation
     */
    public int maxInTransit() {
        return mMaxInTransit.get();
    }

    /**
     * Returns the number of loads requested.
     *
     * @return the count since creation
     */
    public int loads() {
        return mLoads.get();
    }

    @Override
    protected void handle(HttpServerRequest request, Buffer body) {
        mLoads.incrementAndGet();
        int inTransit = mInTransit.incrementAndGet();
        mMaxInTransit.accumulateAndGet(inTransit, Math::max);
        long slowedMillis = mLoadMillis * Math.max(1, inTransit) / FULL_SPEED_LOADS;
        vertx().setTimer(
                        Math.max(1, Math.max(mLoadMillis, slowedMillis)),
                        t -> {
                            mInTransit.decrementAndGet();
                            sendJson(request, mFailing ? 500 : 200, new JsonObject());
                        });
    }
}
