package org.fescuehollow.residency;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.fescuehollow.catalog.AdapterKey;

/**
 * The adapters that requests wait for on one engine.
 *
 * <p>Load pattern: more adapters are wanted than can be loaded. In order of arrival each load would
 * begin when its request is about to give up, and end in vain; so the newest go first, and none
 * begins that can't be done in time.
 *
 * <p>Not safe for concurrent use.
 */
final class DemandQueue {
    /** A want that nobody repeats for this long is dropped; nodes repeat theirs more often. */
    private static final long DEMAND_TTL_NANOS = Duration.ofMillis(400).toNanos();

    private final Map<AdapterKey, QueuedDemand> mDemands = new HashMap<>();

    /** A want, when its latest request came, and until when it is believed unless repeated. */
    private record QueuedDemand(AdapterDemand demand, long sinceNanos, long expiresNanos) {}

    /** Takes that a request waits, or still waits. */
    void add(AdapterDemand want, long now) {
        QueuedDemand fresh = new QueuedDemand(want, now, now + DEMAND_TTL_NANOS);
        mDemands.merge(want.adapter(), fresh, DemandQueue::merge);
    }

    /** A later request makes a want new again, as it can wait for longest. */
    private static QueuedDemand merge(QueuedDemand before, QueuedDemand fresh) {
        boolean longer = fresh.demand().deadlineNanos() > before.demand().deadlineNanos();
        return new QueuedDemand(
                before.demand().mergedWith(fresh.demand()),
                longer ? fresh.sinceNanos() : before.sinceNanos(),
                fresh.expiresNanos());
    }

    void remove(AdapterKey adapter) {
        mDemands.remove(adapter);
    }

    /** Drops wants that nobody has repeated. */
    void removeExpired(long now) {
        mDemands.values().removeIf(w -> w.expiresNanos() < now);
    }

    boolean contains(AdapterKey adapter) {
        return mDemands.containsKey(adapter);
    }

    int size() {
        return mDemands.size();
    }

    /** Returns the wants whose load can be done in time, those to load first at the front. */
    Stream<AdapterDemand> loadableByPriority(ToLongFunction<AdapterKey> loadNanos, long now) {
        return mDemands.values().stream()
                .filter(t -> canLoadInTime(t.demand(), loadNanos, now))
                .sorted(
                        Comparator.<QueuedDemand>comparingInt(t -> t.demand().priority())
                                .thenComparing(
                                        Comparator.comparingLong(QueuedDemand::sinceNanos)
                                                .reversed()))
                .map(QueuedDemand::demand);
    }

    private static boolean canLoadInTime(
            AdapterDemand want, ToLongFunction<AdapterKey> loadNanos, long now) {
        return want.deadlineNanos() - now >= loadNanos.applyAsLong(want.adapter());
    }
}
