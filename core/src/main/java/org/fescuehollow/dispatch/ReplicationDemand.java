package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fescuehollow.catalog.AdapterKey;

/**
 * Tells which adapters are asked for often enough to be worth a copy on one more engine.
 *
 * <p>Load pattern: an engine is crowded by a few frequent adapters. A copy of a rare one that
 * happens to be there costs a load and a place, and nobody uses it before it leaves again. A node
 * sees only its own requests, so it looks back for longer the more nodes there are.
 *
 * <p>Not safe for concurrent use.
 */
final class ReplicationDemand {
    /** Two requests of one node within this time, for each node, make about four a second. */
    private static final long WINDOW_NANOS_PER_NODE = Duration.ofMillis(450).toNanos();

    /** Adapters remembered; those asked for long ago are dropped beyond. */
    private static final int MAX_TRACKED_ADAPTERS = 2_048;

    private final Map<AdapterKey, RecentRequests> mRecentRequests = new HashMap<>();
    private int mNodeCount = 1;

    /** The last two requests for an adapter. */
    private record RecentRequests(long lastNanos, long previousNanos) {}

    /** Takes how many nodes share the requests, this one included. */
    void setNodeCount(int count) {
        mNodeCount = Math.max(1, count);
    }

    /** Takes that this node got a request for an adapter. */
    void onRequest(AdapterKey adapter, long now) {
        if (mRecentRequests.size() >= MAX_TRACKED_ADAPTERS) {
            mRecentRequests.values().removeIf(a -> now - a.lastNanos() > windowNanos());
        }
        RecentRequests before = mRecentRequests.get(adapter);
        long last = before == null ? now - 2 * windowNanos() : before.lastNanos();
        mRecentRequests.put(adapter, new RecentRequests(now, last));
    }

    /** Tells whether an adapter is asked for often. */
    boolean isFrequent(AdapterKey adapter, long now) {
        RecentRequests a = mRecentRequests.get(adapter);
        return a != null && now - a.previousNanos() <= windowNanos();
    }

    private long windowNanos() {
        return WINDOW_NANOS_PER_NODE * mNodeCount;
    }
}
