package org.fescuehollow.catalog;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides when a prefix of the store is asked again, and for how long a call may wait.
 *
 * <p>Answers a store that falls silent and returns without closing connections: a call that is
 * overdue is overtaken by another, which is to be sent on a new connection and to be answered at
 * once. Calls that were overtaken stay open, as a slow store may still answer them.
 *
 * <p>Invariants: after the store's return the next answer comes within two thirds of the settling
 * time, whenever calls were sent before; an answer counts only if no other one came since its call
 * was sent. Not safe for concurrent use.
 */
public final class WatchScheduler {
    /** How long a call stays open beyond its wait; a slow store answers within some 100 ms. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);

    /** Before a call is repeated that failed at once. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** The part of the settling time for which the store may wait for a change. */
    private static final int MAX_WAIT_DIVISOR = 2;

    /** The part of the settling time after which an answer is overdue. */
    private static final int OVERDUE_DIVISOR = 6;

    /** Shorter settling times would ask a healthy store several times a second. */
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
     * @param id tells its answer from those of other calls
     * @param waitMillis how long the store may wait for a change
     * @param timeoutMillis how long the caller waits for the answer
     */
    public record Call(long id, long waitMillis, long timeoutMillis) {}

    /**
     * Creates a pacing; the first call is due at once.
     *
     * @param settling the time from the store's return until its news has to be in force; at least
     *     a second
     * @param now the monotonic time in nanoseconds
     */
    public WatchScheduler(Duration settling, long now) {
        Duration time = settling.compareTo(MIN_SETTLING_TIME) < 0 ? MIN_SETTLING_TIME : settling;
        mMaxWait = time.dividedBy(MAX_WAIT_DIVISOR);
        mOverdueDelay = time.dividedBy(OVERDUE_DIVISOR);
        mDueNanos = now;
        mLastAnswerNanos = now;
    }

    /**
     * Returns when the next call is due, unless an answer comes before.
     *
     * @return the monotonic time in nanoseconds
     */
    public long dueNanos() {
        return mDueNanos;
    }

    /**
     * Tells whether the call that is due overtakes one that was not answered in time.
     *
     * @return true while calls are open
     */
    public boolean isOverdue() {
        return !mOpenCalls.isEmpty();
    }

    /**
     * Begins a call that is due.
     *
     * @param now the monotonic time in nanoseconds
     * @return the call
     */
    public Call startCall(long now) {
        mStoreLost |= isOverdue();
        Duration wait = mStoreLost ? Duration.ZERO : mMaxWait;
        long number = mNextCallId++;
        mOpenCalls.add(number);
        mLastSentNanos = now;
        mDueNanos = now + wait.plus(mOverdueDelay).toNanos();
        mUnansweredCalls++;
        return new Call(number, wait.toMillis(), wait.plus(RESPONSE_TIMEOUT).toMillis());
    }

    /**
     * Takes an answer.
     *
     * @param number the call's
     * @param pause the time before the next call
     * @param now the monotonic time in nanoseconds
     * @return false if the answer is of a call that no longer counts
     */
    public boolean onAnswer(long number, Duration pause, long now) {
        if (!mOpenCalls.contains(number)) {
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
     * Takes a failure.
     *
     * @param number the call's
     * @param now the monotonic time in nanoseconds
     * @return false if the call no longer counts
     */
    public boolean onFailure(long number, long now) {
        if (!mOpenCalls.remove(number)) {
            return false;
        }
        mStoreLost = true;
        long again =
                Math.max(now + RETRY_DELAY.toNanos(), mLastSentNanos + mOverdueDelay.toNanos());
        mDueNanos = Math.min(mDueNanos, again);
        return true;
    }

    /**
     * Returns how many calls were sent since the last answer.
     *
     * @return the count
     */
    public int unansweredCalls() {
        return mUnansweredCalls;
    }

    /**
     * Returns how long the newest call has been under way.
     *
     * @param now the monotonic time in nanoseconds
     * @return the time since it was sent
     */
    public Duration callAge(long now) {
        return Duration.ofNanos(now - mLastSentNanos);
    }

    /**
     * Returns how long ago the last answer came.
     *
     * @param now the monotonic time in nanoseconds
     * @return the time since the answer, or since the start
     */
    public Duration timeSinceAnswer(long now) {
        return Duration.ofNanos(now - mLastAnswerNanos);
    }
}
