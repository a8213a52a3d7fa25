package org.fescuehollow.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Detects that this process was paused, before it acts on state from before the pause.
 *
 * <pre>{@code
 * long now = detector.check(System.nanoTime());
 * }</pre>
 *
 * <p>Invariant: if the gap since the previous check exceeds the limit, the listeners run before the
 * check returns. Check often, also while idle, so that only a pause causes a long gap. A monotonic
 * clock that stops in a suspended VM shows no gap, but the wall clock does, if it is given too. Not
 * safe for concurrent use.
 */
public final class PauseDetector {
    private final long mMaxGapNanos;
    private final List<Runnable> mListeners = new ArrayList<>();
    private long mLastNanos;
    private long mLastWallClockNanos;
    private boolean mStarted;

    /**
     * Creates a detector.
     *
     * @param maxGapNanos the longest gap between two checks that does not count as a pause
     */
    public PauseDetector(long maxGapNanos) {
        mMaxGapNanos = maxGapNanos;
    }

    /**
     * Registers a listener that runs when a pause is detected.
     *
     * @param listener the listener
     */
    public void onPause(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Checks for a pause by the monotonic clock alone.
     *
     * @param now the monotonic time in nanoseconds
     * @return the same time
     */
    public long check(long now) {
        return check(now, mLastWallClockNanos + (now - mLastNanos));
    }

    /**
     * Checks for a pause by the monotonic clock and the wall clock.
     *
     * @param now the monotonic time in nanoseconds
     * @param wallClock the time of day in nanoseconds
     * @return the monotonic time
     */
    public long check(long now, long wallClock) {
        long gap = Math.max(now - mLastNanos, wallClock - mLastWallClockNanos);
        boolean paused = mStarted && gap > mMaxGapNanos;
        mStarted = true;
        mLastNanos = now;
        mLastWallClockNanos = wallClock;
        if (paused) {
            mListeners.forEach(Runnable::run);
        }
        return now;
    }
}
