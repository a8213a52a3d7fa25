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
    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(250).toNanos();

    /** The longest such time; below the few seconds that a restart takes. */
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(3).toNanos();

    /** After this time an old failure counts half. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    private long mBackoffEndNanos;
    private long mBackoffNanos;
    private double mDecayedFailures;
    private double mDecayedRequests;
    private long mLastDecayNanos;

    /**
     * Takes that the server answered.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onSuccess(long now) {
        decay(now);
        mDecayedRequests++;
        mBackoffNanos = 0;
        mBackoffEndNanos = now;
    }

    /**
     * Takes that the server failed a request that reached it.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onFailure(long now) {
        decay(now);
        mDecayedRequests++;
        mDecayedFailures++;
    }

    /**
     * Takes that the server couldn't be reached.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onUnreachable(long now) {
        onFailure(now);
        mBackoffNanos =
                Math.min(MAX_BACKOFF_NANOS, Math.max(INITIAL_BACKOFF_NANOS, mBackoffNanos * 2));
        mBackoffEndNanos = now + mBackoffNanos;
    }

    private void decay(long now) {
        double factor = Math.pow(0.5, (now - mLastDecayNanos) / HALF_LIFE_NANOS);
        mDecayedFailures *= factor;
        mDecayedRequests *= factor;
        mLastDecayNanos = now;
    }

    /**
     * Tells whether to leave the server alone.
     *
     * @param now the monotonic time in nanoseconds
     * @return true while it is blocked
     */
    public boolean isInBackoff(long now) {
        return now < mBackoffEndNanos;
    }

    /**
     * Returns the share of requests that failed lately.
     *
     * @param now the monotonic time in nanoseconds
     * @return from 0 to 1; near 0 without evidence
     */
    public double failureRate(long now) {
        double factor = Math.pow(0.5, (now - mLastDecayNanos) / HALF_LIFE_NANOS);
        return mDecayedFailures * factor / (mDecayedRequests * factor + 2);
    }
}
