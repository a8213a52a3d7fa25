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
public final class WatchPacing {
    /** How long a call stays open beyond its wait; a slow store answers within some 100 ms. */
    private static final Duration ANSWER = Duration.ofSeconds(3);

    /** Before a call is repeated that failed at once. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    /** The part of the settling time for which the store may wait for a change. */
    private static final int WAIT_PART = 2;

    /** The part of the settling time after which an answer is overdue. */
    private static final int SILENCE_PART = 6;

    /** Shorter settling times would ask a healthy store several times a second. */
    private static final Duration LEAST_SETTLING = Duration.ofSeconds(1);

    private final Duration mWait;
    private final Duration mSilence;
    private final Set<Long> mOpen = new HashSet<>();
    private boolean mLost;
    private long mDueNanos;
    private long mSentNanos;
    private long mAnsweredNanos;
    private int mUnanswered;
    private long mNumber;

    /**
     * A call to the store.
     *
     * @param number tells its answer from those of other calls
     * @param waitMillis how long the store may wait for a change
     * @param limitMillis how long the caller waits for the answer
     */
    public record Call(long number, long waitMillis, long limitMillis) {}

    /**
     * Creates a pacing; the first call is due at once.
     *
     * @param settling the time from the store's return until its news has to be in force; at least
     *     a second
     * @param now the monotonic time in nanoseconds
     */
    public WatchPacing(Duration settling, long now) {
        Duration time = settling.compareTo(LEAST_SETTLING) < 0 ? LEAST_SETTLING : settling;
        mWait = time.dividedBy(WAIT_PART);
        mSilence = time.dividedBy(SILENCE_PART);
        mDueNanos = now;
        mAnsweredNanos = now;
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
        return !mOpen.isEmpty();
    }

    /**
     * Begins a call that is due.
     *
     * @param now the monotonic time in nanoseconds
     * @return the call
     */
    public Call send(long now) {
        mLost |= isOverdue();
        Duration wait = mLost ? Duration.ZERO : mWait;
        long number = mNumber++;
        mOpen.add(number);
        mSentNanos = now;
        mDueNanos = now + wait.plus(mSilence).toNanos();
        mUnanswered++;
        return new Call(number, wait.toMillis(), wait.plus(ANSWER).toMillis());
    }

    /**
     * Takes an answer.
     *
     * @param number the call's
     * @param pause the time before the next call
     * @param now the monotonic time in nanoseconds
     * @return false if the answer is of a call that no longer counts
     */
    public boolean answered(long number, Duration pause, long now) {
        if (!mOpen.contains(number)) {
            return false;
        }
        mOpen.clear();
        mLost = false;
        mUnanswered = 0;
        mAnsweredNanos = now;
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
    public boolean failed(long number, long now) {
        if (!mOpen.remove(number)) {
            return false;
        }
        mLost = true;
        long again = Math.max(now + PAUSE.toNanos(), mSentNanos + mSilence.toNanos());
        mDueNanos = Math.min(mDueNanos, again);
        return true;
    }

    /**
     * Returns how many calls were sent since the last answer.
     *
     * @return the count
     */
    public int unanswered() {
        return mUnanswered;
    }

    /**
     * Returns how long the newest call has been under way.
     *
     * @param now the monotonic time in nanoseconds
     * @return the time since it was sent
     */
    public Duration callAge(long now) {
        return Duration.ofNanos(now - mSentNanos);
    }

    /**
     * Returns how long ago the last answer came.
     *
     * @param now the monotonic time in nanoseconds
     * @return the time since the answer, or since the start
     */
    public Duration silence(long now) {
        return Duration.ofNanos(now - mAnsweredNanos);
    }
}
