package org.fescuehollow.residency;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.fescuehollow.catalog.AdapterKey;

/**
 * The adapters that requests wait for on one engine, ordered for loading.
 *
 * <p>Load pattern: more adapters are requested than can be loaded. In order of arrival, each load
 * would begin when its request is about to time out, and would be wasted. So the newest demand is
 * served first, and no load begins that can't finish before the deadline.
 *
 * <p>Not safe for concurrent use.
 */
final class DemandQueue {
    /** Demand that isn't repeated for this long expires; nodes repeat theirs more often. */
    private static final long DEMAND_TTL_NANOS = Duration.ofMillis(400).toNanos();

    private final Map<AdapterKey, QueuedDemand> mDemands = new HashMap<>();

    /** Demand, the arrival time of its latest request, and when it expires unless repeated. */
    private record QueuedDemand(AdapterDemand demand, long sinceNanos, long expiresNanos) {}

    /** Adds or repeats the demand of a waiting request. */
    void add(AdapterDemand demand, long now) {
        QueuedDemand newer = new QueuedDemand(demand, now, now + DEMAND_TTL_NANOS);
        mDemands.merge(demand.adapter(), newer, DemandQueue::merge);
    }

    /** Demand counts as new again if a request with a later deadline joins it. */
    private static QueuedDemand merge(QueuedDemand previous, QueuedDemand newer) {
        boolean laterDeadline = newer.demand().deadlineNanos() > previous.demand().deadlineNanos();
        return new QueuedDemand(
                previous.demand().mergedWith(newer.demand()),
                laterDeadline ? newer.sinceNanos() : previous.sinceNanos(),
                newer.expiresNanos());
    }

    void remove(AdapterKey adapter) {
        mDemands.remove(adapter);
    }

    /** Removes demand that was not repeated in time. */
    void removeExpired(long now) {
        mDemands.values().removeIf(d -> d.expiresNanos() < now);
    }

    boolean contains(AdapterKey adapter) {
        return mDemands.containsKey(adapter);
    }

    int size() {
        return mDemands.size();
    }

    /** Returns the demand that can be loaded in time, in the order of loading. */
    Stream<AdapterDemand> loadableByPriority(ToLongFunction<AdapterKey> loadNanos, long now) {
        return mDemands.values().stream()
                .filter(d -> canLoadInTime(d.demand(), loadNanos, now))
                .sorted(
                        Comparator.<QueuedDemand>comparingInt(d -> d.demand().priority())
                                .thenComparing(
                                        Comparator.comparingLong(QueuedDemand::sinceNanos)
                                                .reversed()))
                .map(QueuedDemand::demand);
    }

    private static boolean canLoadInTime(
            AdapterDemand demand, ToLongFunction<AdapterKey> loadNanos, long now) {
        return demand.deadlineNanos() - now >= loadNanos.applyAsLong(demand.adapter());
    }
}
