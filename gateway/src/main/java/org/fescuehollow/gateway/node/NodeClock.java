package org.fescuehollow.gateway.node;

import java.time.Duration;
import org.fescuehollow.membership.PauseDetector;

/**
 * The monotonic clock of the node's loop, which notices pauses of the process.
 *
 * <p>Used on the node's loop only.
 */
public final class NodeClock {
    /** Shorter than the time for which a reign outlives its last visible order. */
    private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(900);

    private final PauseDetector mPauseGuard = new PauseDetector(PAUSE_THRESHOLD.toNanos());

    /**
     * Returns the time; a pause since the last call is told to the listeners first.
     *
     * @return nanoseconds from an arbitrary origin
     */
    public long now() {
        long wall = Duration.ofMillis(System.currentTimeMillis()).toNanos();
        return mPauseGuard.check(System.nanoTime(), wall);
    }

    /**
     * Registers an action for the end of a pause.
     *
     * @param listener the action
     */
    public void onPause(Runnable listener) {
        mPauseGuard.onPause(listener);
    }
}
