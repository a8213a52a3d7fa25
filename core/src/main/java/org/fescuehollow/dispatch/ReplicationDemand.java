package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fescuehollow.catalog.AdapterKey;

/**
 * Determines which adapters are requested often enough to justify a replica on another engine.
 *
 * <p>Load pattern: a few frequent adapters overload an engine. Replicating a rare adapter of that
 * engine would cost a load and an adapter slot, and the replica would be evicted before it is used.
 * A node sees only its own requests, so the window grows with the number of nodes.
 *
 * <p>Not safe for concurrent use.
 */
final class ReplicationDemand {
    /**
     * Length of the window per node. Two requests per window at each node are about four a second
     * in the fleet.
     */
    private static final long WINDOW_NANOS_PER_NODE = Duration.ofMillis(450).toNanos();

    /** Above this number, adapters without a request in the current window are dropped. */
    private static final int MAX_TRACKED_ADAPTERS = 2_048;

    private final Map<AdapterKey, RecentRequests> mRecentRequests = new HashMap<>();
    private int mNodeCount = 1;

    /** When the last two requests for an adapter arrived. */
    private record RecentRequests(long lastNanos, long previousNanos) {}

    /** Sets the number of nodes that share the requests, including this one. */
    void setNodeCount(int count) {
        mNodeCount = Math.max(1, count);
    }

    /** Records a request for an adapter at this node. */
    void onRequest(AdapterKey adapter, long now) {
        if (mRecentRequests.size() >= MAX_TRACKED_ADAPTERS) {
            mRecentRequests.values().removeIf(a -> now - a.lastNanos() > windowNanos());
        }
        RecentRequests recent = mRecentRequests.get(adapter);
        long previous = recent == null ? now - 2 * windowNanos() : recent.lastNanos();
        mRecentRequests.put(adapter, new RecentRequests(now, previous));
    }

    /** Returns whether two requests for an adapter arrived within the window. */
    boolean isFrequent(AdapterKey adapter, long now) {
        RecentRequests recent = mRecentRequests.get(adapter);
        return recent != null && now - recent.previousNanos() <= windowNanos();
    }

    private long windowNanos() {
        return WINDOW_NANOS_PER_NODE * mNodeCount;
    }
}
