package org.fescuehollow.catalog;

import java.time.Duration;

/**
 * Decides when a prefix of the store is asked again, and for how long a call may wait.
 *
 * <p>Invariants: one call at a time; a failed call is repeated after a pause that doubles. Not safe
 * for concurrent use.
 */
public final class WatchPacing {
    /** How long the store may wait for a change. */
    public static final Duration LONGEST_WAIT = Duration.ofSeconds(5);

    /** The longest time for an answer beyond a watch's wait: some times a slow store's answer. */
    private static final Duration ANSWER = Duration.ofMillis(1_500);

    /** The first pause after a failure. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

    /** The longest pause; a change has to be in force within two seconds of the store's return. */
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

    private final Duration mWait;
    private Duration mPause = Duration.ZERO;
    private long mDueNanos;
    private long mSentNanos;
    private long mAnsweredNanos;
    private int mUnanswered;
    private long mOpen = -1;
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
     * @param wait how long the store may wait for a change
     * @param now the monotonic time in nanoseconds
     */
    public WatchPacing(Duration wait, long now) {
        mWait = wait;
        mDueNanos = now;
        mAnsweredNanos = now;
    }

    /**
     * Returns when the next call is due.
     *
     * @return the monotonic time in nanoseconds; {@link Long#MAX_VALUE} while a call is open
     */
    public long dueNanos() {
        return mOpen >= 0 ? Long.MAX_VALUE : mDueNanos;
    }

    /**
     * Begins a call that is due.
     *
     * @param now the monotonic time in nanoseconds
     * @return the call
     */
    public Call send(long now) {
        mOpen = mNumber++;
        mSentNanos = now;
        mUnanswered++;
        return new Call(mOpen, mWait.toMillis(), mWait.plus(ANSWER).toMillis());
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
        if (number != mOpen) {
            return false;
        }
        mOpen = -1;
        mUnanswered = 0;
        mPause = Duration.ZERO;
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
        if (number != mOpen) {
            return false;
        }
        mOpen = -1;
        Duration doubled = mPause.multipliedBy(2);
        mPause = doubled.compareTo(FIRST_PAUSE) < 0 ? FIRST_PAUSE : doubled;
        mPause = mPause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : mPause;
        mDueNanos = now + mPause.toNanos();
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
