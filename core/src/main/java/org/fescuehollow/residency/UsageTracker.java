package org.fescuehollow.residency;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.fescuehollow.catalog.AdapterKey;

/**
 * How much of the time the adapters of one engine were in use lately.
 *
 * <p>Not safe for concurrent use.
 */
final class UsageTracker {
    /** Nodes tell at once which adapters they use; an adapter unused for longer is idle. */
    private static final long MIN_IDLE_NANOS = Duration.ofMillis(80).toNanos();

    /** After this time, use counts half; about the time in which demand shifts. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(8).toNanos();

    /**
     * An adapter that has come and isn't used yet stays this long: the request that waits for it
     * hears of it and is sent within some milliseconds, on a slow node within some hundred.
     */
    private static final long UNUSED_GRACE_NANOS = Duration.ofMillis(400).toNanos();

    private static final long NEVER_USED_AGE_NANOS = Duration.ofHours(1).toNanos();

    private final Map<AdapterKey, Long> mLastUseNanos = new HashMap<>();
    private final Map<AdapterKey, Double> mDecayedUse = new HashMap<>();
    private final Map<AdapterKey, Long> mGraceUntilNanos = new HashMap<>();
    private long mSampledNanos;

    /** Takes that an adapter has come, which nobody uses yet. */
    void onLoaded(AdapterKey adapter, long now) {
        mLastUseNanos.merge(adapter, now, Math::max);
        mGraceUntilNanos.put(adapter, now + UNUSED_GRACE_NANOS);
    }

    /** Takes that an adapter was used. */
    void recordUse(AdapterKey adapter, long at) {
        mGraceUntilNanos.remove(adapter);
        mLastUseNanos.merge(adapter, at, Math::max);
    }

    /** Takes which of the adapters on the engine are in use; to be called regularly. */
    void sample(Collection<AdapterKey> present, Predicate<AdapterKey> inUse, long now) {
        double decay = Math.pow(0.5, (now - mSampledNanos) / HALF_LIFE_NANOS);
        mSampledNanos = now;
        mDecayedUse.keySet().retainAll(present);
        mLastUseNanos.keySet().retainAll(present);
        mGraceUntilNanos.keySet().retainAll(present);
        for (AdapterKey a : present) {
            double use = inUse.test(a) ? 1 : 0;
            mDecayedUse.merge(a, use, (before, u) -> before * decay + u);
        }
    }

    /** Tells whether an adapter has been unused for long enough to leave. */
    boolean isIdle(AdapterKey adapter, long now) {
        boolean fresh = now < mGraceUntilNanos.getOrDefault(adapter, now);
        return !fresh && now - lastUseNanos(adapter, now) >= MIN_IDLE_NANOS;
    }

    /** Returns the order in which idle adapters leave: the least used first. */
    Comparator<AdapterKey> leastUsedFirst(long now) {
        return Comparator.<AdapterKey>comparingDouble(a -> mDecayedUse.getOrDefault(a, 0.0))
                .thenComparingLong(a -> lastUseNanos(a, now));
    }

    private long lastUseNanos(AdapterKey adapter, long now) {
        return mLastUseNanos.getOrDefault(adapter, now - NEVER_USED_AGE_NANOS);
    }
}
