package org.fescuehollow.catalog;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Schedules the long-poll calls that watch a prefix of the store.
 *
 * <p>Handles a store that stops responding and recovers without closing connections: an overdue
 * call is superseded by another one, which uses a new connection and asks for an immediate
 * response. Superseded calls stay open, because a slow store may still respond to them.
 *
 * <p>Invariants: after the store recovers, the next response arrives within two thirds of the
 * settling time, regardless of when earlier calls were sent; a response counts only if no other one
 * arrived since its call was sent. Not safe for concurrent use.
 */
public final class WatchScheduler {
    /** How long a call stays open beyond its wait; a slow store responds within some 100 ms. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);

    /** Minimum delay before the call after a failed one. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** The store may wait for a change for the settling time divided by this. */
    private static final int MAX_WAIT_DIVISOR = 2;

    /** A response is overdue after the settling time divided by this. */
    private static final int OVERDUE_DIVISOR = 6;

    /** Shorter settling times would send several calls a second to a healthy store. */
    private static final Duration MIN_SETTLING_TIME = Duration.ofSeconds(1);

    private final Duration mMaxWait;
    private final Duration mOverdueDelay;
    private final Set<Long> mOpenCalls = new HashSet<>();
    private boolean mStoreLost;
    private long mDueNanos;
    private long mLastSentNanos;
    private long mLastAnswerNanos;
    private int mUnansweredCalls;
    private long mNextCallId;

    /**
     * A call to the store.
     *
     * @param id identifies the response of this call
     * @param waitMillis how long the store may wait for a change before it responds
     * @param timeoutMillis how long to wait for the response
     */
    public record Call(long id, long waitMillis, long timeoutMillis) {}

    /**
     * Creates a scheduler; the first call is due immediately.
     *
     * @param settling the time within which changes must be applied after the store recovers; at
     *     least a second
     * @param now the monotonic time in nanoseconds
     */
    public WatchScheduler(Duration settling, long now) {
        Duration settlingTime =
                settling.compareTo(MIN_SETTLING_TIME) < 0 ? MIN_SETTLING_TIME : settling;
        mMaxWait = settlingTime.dividedBy(MAX_WAIT_DIVISOR);
        mOverdueDelay = settlingTime.dividedBy(OVERDUE_DIVISOR);
        mDueNanos = now;
        mLastAnswerNanos = now;
    }

    /**
     * Returns when the next call is due if no response arrives before.
     *
     * @return the monotonic time in nanoseconds
     */
    public long dueNanos() {
        return mDueNanos;
    }

    /**
     * Returns whether the next call supersedes one without a response.
     *
     * @return true if calls are open
     */
    public boolean isOverdue() {
        return !mOpenCalls.isEmpty();
    }

    /**
     * Starts a call that is due.
     *
     * @param now the monotonic time in nanoseconds
     * @return the call
     */
    public Call startCall(long now) {
        mStoreLost |= isOverdue();
        Duration wait = mStoreLost ? Duration.ZERO : mMaxWait;
        long id = mNextCallId++;
        mOpenCalls.add(id);
        mLastSentNanos = now;
        mDueNanos = now + wait.plus(mOverdueDelay).toNanos();
        mUnansweredCalls++;
        return new Call(id, wait.toMillis(), wait.plus(RESPONSE_TIMEOUT).toMillis());
    }

    /**
     * Returns whether a call still counts.
     *
     * @param id the call's id
     * @return false if it failed or another response arrived since it was sent
     */
    public boolean isOpen(long id) {
        return mOpenCalls.contains(id);
    }

    /**
     * Records a response.
     *
     * @param id the call's id
     * @param pause the delay before the next call
     * @param now the monotonic time in nanoseconds
     * @return false if the call no longer counts and its response must be ignored
     */
    public boolean onAnswer(long id, Duration pause, long now) {
        if (!mOpenCalls.contains(id)) {
            return false;
        }
        mOpenCalls.clear();
        mStoreLost = false;
        mUnansweredCalls = 0;
        mLastAnswerNanos = now;
        mDueNanos = now + pause.toNanos();
        return true;
    }

    /**
     * Records a failure.
     *
     * @param id the call's id
     * @param now the monotonic time in nanoseconds
     * @return false if the call no longer counts
     */
    public boolean onFailure(long id, long now) {
        if (!mOpenCalls.remove(id)) {
            return false;
        }
        mStoreLost = true;
        long retryNanos =
                Math.max(now + RETRY_DELAY.toNanos(), mLastSentNanos + mOverdueDelay.toNanos());
        mDueNanos = Math.min(mDueNanos, retryNanos);
        return true;
    }

    /**
     * Returns how many calls were sent since the last response.
     *
     * @return the count
     */
    public int unansweredCalls() {
        return mUnansweredCalls;
    }

    /**
     * Returns the time since the latest call was sent.
     *
     * @param now the monotonic time in nanoseconds
     * @return the age of the call
     */
    public Duration callAge(long now) {
        return Duration.ofNanos(now - mLastSentNanos);
    }

    /**
     * Returns the time since the last response.
     *
     * @param now the monotonic time in nanoseconds
     * @return the time since the last response, or since the creation
     */
    public Duration timeSinceAnswer(long now) {
        return Duration.ofNanos(now - mLastAnswerNanos);
    }
}
