package org.fescuehollow.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Notices at the next event that this process was paused, before anything old is acted on.
 *
 * <pre>{@code
 * long now = guard.check(System.nanoTime());
 * }</pre>
 *
 * <p>Invariant: after a gap between two checks that exceeds the limit, the listeners run before the
 * check returns. Check often while idle, so that only a pause makes a gap. A monotonic clock that
 * stands still in a suspended VM shows no gap; the time of day, if it is given too, does. Not safe
 * for concurrent use.
 */
public final class PauseDetector {
    private final long mMaxGapNanos;
    private final List<Runnable> mListeners = new ArrayList<>();
    private long mLastNanos;
    private long mLastWallClockNanos;
    private boolean mStarted;

    /**
     * Creates a guard.
     *
     * @param limitNanos the longest gap that is no pause
     */
    public PauseDetector(long limitNanos) {
        mMaxGapNanos = limitNanos;
    }

    /**
     * Registers an action for the end of a pause.
     *
     * @param listener the action
     */
    public void onPause(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Takes the time of an event.
     *
     * @param now the monotonic time in nanoseconds
     * @return the same time
     */
    public long check(long now) {
        return check(now, mLastWallClockNanos + (now - mLastNanos));
    }

    /**
     * Takes the time of an event by two clocks.
     *
     * @param now the monotonic time in nanoseconds
     * @param wall the time of day in nanoseconds
     * @return the monotonic time
     */
    public long check(long now, long wall) {
        long gap = Math.max(now - mLastNanos, wall - mLastWallClockNanos);
        boolean paused = mStarted && gap > mMaxGapNanos;
        mStarted = true;
        mLastNanos = now;
        mLastWallClockNanos = wall;
        if (paused) {
            mListeners.forEach(Runnable::run);
        }
        return now;
    }
}
