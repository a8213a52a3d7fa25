package org.fescuehollow.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This node's share of the repeats that a service may get within a sliding window.
 *
 * <p>Invariant: the repeats allowed within a window never exceed the share of this node's requests
 * plus its part of the slack. Not safe for concurrent use.
 */
public final class WindowedRetryBudget {
    private final double mRetryRatio;
    private final double mSlack;
    private final long mWindowNanos;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();

    /**
     * Creates a window.
     *
     * @param ratio repeats for each request
     * @param slack repeats besides, over all nodes
     * @param windowNanos the window's length
     */
    public WindowedRetryBudget(double ratio, double slack, long windowNanos) {
        mRetryRatio = ratio;
        mSlack = slack;
        mWindowNanos = windowNanos;
    }

    /**
     * Counts a request of a caller.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onRequest(long now) {
        mRequests.add(now);
        removeExpired(mRequests, now);
    }

    /**
     * Takes one repeat if the window has room for it.
     *
     * @param nodes the nodes that share the slack, at least one
     * @param now the monotonic time in nanoseconds
     * @return true if the repeat may be sent
     */
    public boolean tryRetry(int nodes, long now) {
        removeExpired(mRequests, now);
        removeExpired(mRetries, now);
        if (mRetries.size() + 1 > mRetryRatio * mRequests.size() + mSlack / nodes) {
            return false;
        }
        mRetries.add(now);
        return true;
    }

    private void removeExpired(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > mWindowNanos) {
            times.removeFirst();
        }
    }
}
