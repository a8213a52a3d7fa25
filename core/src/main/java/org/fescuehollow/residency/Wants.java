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
final class Wants {
    /** A want that nobody repeats for this long is dropped; nodes repeat theirs more often. */
    private static final long REPEAT_NANOS = Duration.ofMillis(400).toNanos();

    private final Map<AdapterKey, Want> mWants = new HashMap<>();

    /** One wanted adapter; the times are by the monotonic clock. */
    record Want(
            AdapterKey adapter,
            long version,
            int rank,
            long sinceNanos,
            long giveUpNanos,
            long untilNanos) {}

    /** Takes that a request waits, or still waits. */
    void add(AdapterKey adapter, long version, int rank, long giveUpNanos, long now) {
        long until = now + REPEAT_NANOS;
        Want fresh = new Want(adapter, version, rank, now, giveUpNanos, until);
        mWants.merge(adapter, fresh, Wants::merged);
    }

    /** A later request makes a want new again, as it can wait for longest. */
    private static Want merged(Want before, Want fresh) {
        boolean longer = fresh.giveUpNanos() > before.giveUpNanos();
        return new Want(
                fresh.adapter(),
                Math.max(before.version(), fresh.version()),
                Math.min(before.rank(), fresh.rank()),
                longer ? fresh.sinceNanos() : before.sinceNanos(),
                Math.max(before.giveUpNanos(), fresh.giveUpNanos()),
                fresh.untilNanos());
    }

    void remove(AdapterKey adapter) {
        mWants.remove(adapter);
    }

    /** Drops wants that nobody has repeated. */
    void drop(long now) {
        mWants.values().removeIf(w -> w.untilNanos() < now);
    }

    boolean contains(AdapterKey adapter) {
        return mWants.containsKey(adapter);
    }

    int size() {
        return mWants.size();
    }

    /** Returns the wants whose load can be done in time, those to load first at the front. */
    Stream<Want> inOrder(ToLongFunction<AdapterKey> loadNanos, long now) {
        return mWants.values().stream()
                .filter(w -> w.giveUpNanos() - now >= loadNanos.applyAsLong(w.adapter()))
                .sorted(
                        Comparator.comparingInt(Want::rank)
                                .thenComparing(
                                        Comparator.comparingLong(Want::sinceNanos).reversed()));
    }
}
