package org.fescuehollow.gateway.node;

import java.time.Duration;
import org.fescuehollow.membership.PauseDetector;

/**
 * The monotonic clock of the node, which detects pauses of the process.
 *
 * <p>Not thread-safe; used on the node's event loop only.
 */
public final class NodeClock {
    /**
     * Shortest pause that is detected; shorter than the time for which a lease outlives its last
     * visible order.
     */
    private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(900);

    private final PauseDetector mPauseGuard = new PauseDetector(PAUSE_THRESHOLD.toNanos());

    /**
     * Returns the time. If the process was paused since the last call, the listeners run first.
     *
     * @return nanoseconds from an arbitrary origin
     */
    public long now() {
        long wall = Duration.ofMillis(System.currentTimeMillis()).toNanos();
        return mPauseGuard.check(System.nanoTime(), wall);
    }

    /**
     * Registers an action that runs after a pause was detected.
     *
     * @param listener the action
     */
    public void onPause(Runnable listener) {
        mPauseGuard.onPause(listener);
    }
}
