package org.fescuehollow.dispatch;

import java.time.Duration;

/**
 * What this node's own requests tell of a server's health.
 *
 * <p>Load pattern: servers that crash, are cut off, or fail a part of their requests while they say
 * they are well. A server that can't be reached is left alone for a time that doubles, then tried
 * with one request; one that fails requests is preferred less.
 *
 * <p>Not safe for concurrent use.
 */
public final class EngineHealth {
    /** The first time for which an unreachable server is left alone. */
    private static final long FIRST_BLOCK_NANOS = Duration.ofMillis(250).toNanos();

    /** The longest such time; below the few seconds that a restart takes. */
    private static final long LONGEST_BLOCK_NANOS = Duration.ofSeconds(3).toNanos();

    /** After this time an old failure counts half. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    private long mBlockedUntil;
    private long mBlockNanos;
    private double mFailures;
    private double mTotal;
    private long mLastNanos;

    /**
     * Takes that the server answered.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void succeeded(long now) {
        decay(now);
        mTotal++;
        mBlockNanos = 0;
        mBlockedUntil = now;
    }

    /**
     * Takes that the server failed a request that reached it.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void failed(long now) {
        decay(now);
        mTotal++;
        mFailures++;
    }

    /**
     * Takes that the server couldn't be reached.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void unreachable(long now) {
        failed(now);
        mBlockNanos = Math.min(LONGEST_BLOCK_NANOS, Math.max(FIRST_BLOCK_NANOS, mBlockNanos * 2));
        mBlockedUntil = now + mBlockNanos;
    }

    private void decay(long now) {
        double factor = Math.pow(0.5, (now - mLastNanos) / HALF_LIFE_NANOS);
        mFailures *= factor;
        mTotal *= factor;
        mLastNanos = now;
    }

    /**
     * Tells whether to leave the server alone.
     *
     * @param now the monotonic time in nanoseconds
     * @return true while it is blocked
     */
    public boolean isBlocked(long now) {
        return now < mBlockedUntil;
    }

    /**
     * Returns the share of requests that failed lately.
     *
     * @param now the monotonic time in nanoseconds
     * @return from 0 to 1; near 0 without evidence
     */
    public double failureShare(long now) {
        double factor = Math.pow(0.5, (now - mLastNanos) / HALF_LIFE_NANOS);
        return mFailures * factor / (mTotal * factor + 2);
    }
}
