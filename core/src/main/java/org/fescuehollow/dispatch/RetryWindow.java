package org.fescuehollow.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This node's share of the repeats that a service may get within a sliding window.
 *
 * <p>Invariant: the repeats allowed within a window never exceed the share of this node's requests
 * plus its part of the slack. Not safe for concurrent use.
 */
public final class RetryWindow {
    private final double mRatio;
    private final double mSlack;
    private final long mWindowNanos;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRepeats = new ArrayDeque<>();

    /**
     * Creates a window.
     *
     * @param ratio repeats for each request
     * @param slack repeats besides, over all nodes
     * @param windowNanos the window's length
     */
    public RetryWindow(double ratio, double slack, long windowNanos) {
        mRatio = ratio;
        mSlack = slack;
        mWindowNanos = windowNanos;
    }

    /**
     * Counts a request of a caller.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void request(long now) {
        mRequests.add(now);
        trim(mRequests, now);
    }

    /**
     * Takes one repeat if the window has room for it.
     *
     * @param nodes the nodes that share the slack, at least one
     * @param now the monotonic time in nanoseconds
     * @return true if the repeat may be sent
     */
    public boolean tryRepeat(int nodes, long now) {
        trim(mRequests, now);
        trim(mRepeats, now);
        if (mRepeats.size() + 1 > mRatio * mRequests.size() + mSlack / nodes) {
            return false;
        }
        mRepeats.add(now);
        return true;
    }

    private void trim(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > mWindowNanos) {
            times.removeFirst();
        }
    }
}
