package org.fescuehollow.residency;

import java.time.Duration;

/**
 * Limits how many adapters all engines together load from the weight store at once.
 *
 * <p>Load pattern: many rare adapters are requested at once. Beyond the capacity of the store, load
 * times grow in proportion to the number of loads, so that requests time out before their adapter
 * is loaded and the load is wasted. The limit adapts to the measured load times.
 *
 * <p>Not safe for concurrent use.
 */
public final class LoadConcurrencyLimit {
    /** Initial and lowest limit; all known deployments sustain this many concurrent loads. */
    private static final double INITIAL_LOADS = 8;

    private static final double MAX_LOADS = 512;

    /** From this multiple of the shortest load time, the store is considered overloaded. */
    private static final double SLOW_LOAD_RATIO = 1.4;

    /** Up to this multiple of the shortest load time, the store has spare capacity. */
    private static final double FAST_LOAD_RATIO = 1.15;

    /**
     * Relative increase of the limit after a fast load at the limit. It is large because in a large
     * fleet each node sees few loads.
     */
    private static final double GROWTH_FACTOR = 0.15;

    /** Shorter loads came from the engine's local cache and say nothing about the store. */
    private static final long MIN_STORE_LOAD_NANOS = Duration.ofMillis(80).toNanos();

    private double mLimit = INITIAL_LOADS;
    private long mMinLoadNanos = MIN_STORE_LOAD_NANOS;
    private boolean mMeasured;

    /**
     * Adjusts the limit after a load from the store is done.
     *
     * @param nanos the duration of the load in nanoseconds
     * @param loadsInProgress the number of loads in progress when it began, including itself
     */
    public void onLoadCompleted(long nanos, int loadsInProgress) {
        if (nanos < MIN_STORE_LOAD_NANOS) {
            return;
        }
        mMinLoadNanos = mMeasured ? Math.min(mMinLoadNanos, nanos) : nanos;
        mMeasured = true;
        double ratio = (double) nanos / mMinLoadNanos;
        if (ratio > SLOW_LOAD_RATIO) {
            mLimit = Math.max(INITIAL_LOADS, Math.min(mLimit, loadsInProgress / ratio));
        } else if (ratio < FAST_LOAD_RATIO && loadsInProgress >= limit()) {
            mLimit = Math.min(MAX_LOADS, mLimit + Math.max(1, mLimit * GROWTH_FACTOR));
        }
    }

    /**
     * Returns whether one more load may begin.
     *
     * @param loadsInProgress the number of loads in progress
     * @return true if the number is below the limit
     */
    public boolean allows(int loadsInProgress) {
        return loadsInProgress < (int) mLimit;
    }

    /**
     * Returns the shortest measured time of a load from the store.
     *
     * @return the time in nanoseconds; a low default until a load was measured
     */
    public long minLoadNanos() {
        return mMinLoadNanos;
    }

    /**
     * Returns the limit.
     *
     * @return the maximum number of concurrent loads
     */
    public int limit() {
        return (int) mLimit;
    }
}
