package org.fescuehollow.residency;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.fescuehollow.catalog.AdapterKey;

/**
 * Tracks how much the adapters of one engine were used recently.
 *
 * <p>Not safe for concurrent use.
 */
final class UsageTracker {
    /** Nodes announce at once which adapters they use; one unused for longer is idle. */
    private static final long MIN_IDLE_NANOS = Duration.ofMillis(80).toNanos();

    /** Half-life of the weight of past use; about the time in which demand changes. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(8).toNanos();

    /**
     * A newly loaded adapter isn't evicted for this time unless it was used: the waiting request is
     * sent within some milliseconds after the load, on a slow node within some hundred.
     */
    private static final long UNUSED_GRACE_NANOS = Duration.ofMillis(400).toNanos();

    /** Assumed time since the last use of an adapter without a recorded use. */
    private static final long NEVER_USED_AGE_NANOS = Duration.ofHours(1).toNanos();

    private final Map<AdapterKey, Long> mLastUseNanos = new HashMap<>();
    private final Map<AdapterKey, Double> mDecayedUse = new HashMap<>();
    private final Map<AdapterKey, Long> mGraceUntilNanos = new HashMap<>();
    private long mSampledNanos;

    /** Records that an adapter was loaded and is not used yet. */
    void onLoaded(AdapterKey adapter, long now) {
        mLastUseNanos.merge(adapter, now, Math::max);
        mGraceUntilNanos.put(adapter, now + UNUSED_GRACE_NANOS);
    }

    /** Records the use of an adapter. */
    void recordUse(AdapterKey adapter, long at) {
        mGraceUntilNanos.remove(adapter);
        mLastUseNanos.merge(adapter, at, Math::max);
    }

    /** Samples which adapters on the engine are in use; call this periodically. */
    void sample(Collection<AdapterKey> resident, Predicate<AdapterKey> inUse, long now) {
        double decay = Math.pow(0.5, (now - mSampledNanos) / HALF_LIFE_NANOS);
        mSampledNanos = now;
        mDecayedUse.keySet().retainAll(resident);
        mLastUseNanos.keySet().retainAll(resident);
        mGraceUntilNanos.keySet().retainAll(resident);
        for (AdapterKey a : resident) {
            double use = inUse.test(a) ? 1 : 0;
            mDecayedUse.merge(a, use, (previous, u) -> previous * decay + u);
        }
    }

    /** Returns whether an adapter has been unused for long enough to be evicted. */
    boolean isIdle(AdapterKey adapter, long now) {
        boolean inGracePeriod = now < mGraceUntilNanos.getOrDefault(adapter, now);
        return !inGracePeriod && now - lastUseNanos(adapter, now) >= MIN_IDLE_NANOS;
    }

    /** Returns the eviction order of idle adapters: the least used first. */
    Comparator<AdapterKey> leastUsedFirst(long now) {
        return Comparator.<AdapterKey>comparingDouble(a -> mDecayedUse.getOrDefault(a, 0.0))
                .thenComparingLong(a -> lastUseNanos(a, now));
    }

    private long lastUseNanos(AdapterKey adapter, long now) {
        return mLastUseNanos.getOrDefault(adapter, now - NEVER_USED_AGE_NANOS);
    }
}
