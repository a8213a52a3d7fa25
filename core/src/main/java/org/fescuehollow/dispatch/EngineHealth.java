package org.fescuehollow.dispatch;

import java.time.Duration;

/**
 * A server's health as observed by this node's own requests.
 *
 * <p>Load pattern: servers crash, are cut off, or fail some requests while their own health report
 * is good. An unreachable server gets no requests during a backoff that doubles each time; a server
 * that fails requests gets a lower preference; one that is overloaded names a time in which it
 * wants no requests.
 *
 * <p>Not safe for concurrent use.
 */
public final class EngineHealth {
    /** First backoff of an unreachable server. */
    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(250).toNanos();

    /** Longest backoff; below the few seconds that a restart takes. */
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(3).toNanos();

    /** Time in which the weight of past requests and failures halves. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    private long mBackoffEndNanos;
    private long mPauseEndNanos = Long.MIN_VALUE;
    private long mBackoffNanos;
    private double mDecayedFailures;
    private double mDecayedRequests;
    private long mLastDecayNanos;

    /**
     * Records a response of the server.
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
     * Records that the server failed a request that reached it.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onFailure(long now) {
        decay(now);
        mDecayedRequests++;
        mDecayedFailures++;
    }

    /**
     * Records that the server couldn't be reached.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onUnreachable(long now) {
        onFailure(now);
        mBackoffNanos =
                Math.min(MAX_BACKOFF_NANOS, Math.max(INITIAL_BACKOFF_NANOS, mBackoffNanos * 2));
        mBackoffEndNanos = now + mBackoffNanos;
    }

    /**
     * Records that the server wants no requests of this node for some time. Responses to requests
     * that it accepted before don't shorten that time.
     *
     * @param time the time
     * @param now the monotonic time in nanoseconds
     */
    public void onPauseWanted(Duration time, long now) {
        mPauseEndNanos = now + time.toNanos();
    }

    /** Records that the server has restarted, which ends a time that it asked for before. */
    void onRestart() {
        mPauseEndNanos = Long.MIN_VALUE;
    }

    private void decay(long now) {
        double factor = Math.pow(0.5, (now - mLastDecayNanos) / HALF_LIFE_NANOS);
        mDecayedFailures *= factor;
        mDecayedRequests *= factor;
        mLastDecayNanos = now;
    }

    /**
     * Returns whether the server is in backoff after it was unreachable, or wants no requests now.
     *
     * @param now the monotonic time in nanoseconds
     * @return true if no requests should be sent to it
     */
    public boolean isInBackoff(long now) {
        return now < mBackoffEndNanos || now < mPauseEndNanos;
    }

    /**
     * Returns the share of recent requests that failed.
     *
     * @param now the monotonic time in nanoseconds
     * @return from 0 to 1; close to 0 after few requests
     */
    public double failureRate(long now) {
        if (mDecayedFailures == 0) {
            return 0;
        }
        double factor = Math.pow(0.5, (now - mLastDecayNanos) / HALF_LIFE_NANOS);
        return mDecayedFailures * factor / (mDecayedRequests * factor + 2);
    }
}
