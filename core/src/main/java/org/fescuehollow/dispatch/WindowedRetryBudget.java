package org.fescuehollow.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this node sends to a service within a sliding window.
 *
 * <p>Invariant: the retries allowed within a window never exceed the ratio times this node's
 * requests, plus this node's part of the slack. Not safe for concurrent use.
 */
public final class WindowedRetryBudget {
    private final double mRetryRatio;
    private final double mSlack;
    private final long mWindowNanos;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per request
     * @param slack additional retries per window, divided between all nodes
     * @param windowNanos the window's length
     */
    public WindowedRetryBudget(double ratio, double slack, long windowNanos) {
        mRetryRatio = ratio;
        mSlack = slack;
        mWindowNanos = windowNanos;
    }

    /**
     * Counts a client request.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onRequest(long now) {
        mRequests.add(now);
        removeExpired(mRequests, now);
    }

    /**
     * Takes one retry from the budget, if any is left.
     *
     * @param nodes the nodes that share the slack, at least one
     * @param now the monotonic time in nanoseconds
     * @return true if the retry may be sent
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
