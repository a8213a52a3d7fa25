package org.fescuehollow.residency;

import java.time.Duration;

/**
 * How many adapters may be on their way from the weight store at once, over all engines.
 *
 * <p>Load pattern: many rare adapters are asked for at once. Beyond what the store carries, each
 * load takes longer in proportion, so that requests give up before their adapter comes and the load
 * was in vain. The limit follows the times that loads take.
 *
 * <p>Not safe for concurrent use.
 */
public final class LoadConcurrencyLimit {
    /** What is tried until loads were measured; the least that deployments are known to carry. */
    private static final double INITIAL_LOADS = 8;

    private static final double MAX_LOADS = 512;

    /** A load that takes this much longer than the shortest shared the store with too many. */
    private static final double SLOW_LOAD_RATIO = 1.4;

    /** A load that takes this much longer at most had the store to itself. */
    private static final double FAST_LOAD_RATIO = 1.15;

    /** Added to the limit after a fast load at it; in a large fleet each node sees few loads. */
    private static final double GROWTH_FACTOR = 0.15;

    /** A shorter load came from the engine's own copy and tells nothing of the store. */
    private static final long MIN_STORE_LOAD_NANOS = Duration.ofMillis(80).toNanos();

    private double mLimit = INITIAL_LOADS;
    private long mMinLoadNanos = MIN_STORE_LOAD_NANOS;
    private boolean mMeasured;

    /**
     * Takes that a load from the store is done.
     *
     * @param nanos the time that it took
     * @param inTransit the loads that were on their way when it began, itself included
     */
    public void onLoadCompleted(long nanos, int inTransit) {
        if (nanos < MIN_STORE_LOAD_NANOS) {
            return;
        }
        mMinLoadNanos = mMeasured ? Math.min(mMinLoadNanos, nanos) : nanos;
        mMeasured = true;
        double ratio = (double) nanos / mMinLoadNanos;
        if (ratio > SLOW_LOAD_RATIO) {
            mLimit = Math.max(INITIAL_LOADS, Math.min(mLimit, inTransit / ratio));
        } else if (ratio < FAST_LOAD_RATIO && inTransit >= limit()) {
            mLimit = Math.min(MAX_LOADS, mLimit + Math.max(1, mLimit * GROWTH_FACTOR));
        }
    }

    /**
     * Tells whether one more load may begin.
     *
     * @param inTransit the loads on their way
     * @return true if the store carries one more
     */
    public boolean allows(int inTransit) {
        return inTransit < (int) mLimit;
    }

    /**
     * Returns the time that a load takes at least.
     *
     * @return nanoseconds; short until one was measured
     */
    public long minLoadNanos() {
        return mMinLoadNanos;
    }

    /**
     * Returns the limit.
     *
     * @return loads at once
     */
    public int limit() {
        return (int) mLimit;
    }
}
