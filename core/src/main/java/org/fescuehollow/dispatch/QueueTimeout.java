package org.fescuehollow.dispatch;

import java.time.Duration;

/**
 * How long a request waits for an engine, and when its caller may come back.
 *
 * <p>Load pattern: more requests than engines can serve. What has waited for longer than its
 * objective is late anyway; its caller does better to come back, perhaps to another node, than to
 * wait until its deadline.
 *
 * <p>Stateless and safe for use by any thread. Times are by the monotonic clock.
 */
public final class QueueTimeout {
    /** Of the time that a request has, the part after which waiting for a server ends. */
    private static final double MAX_WAIT_DEADLINE_SHARE = 0.6;

    /**
     * Latency objectives after which waiting for a model engine ends: what waited longer is late
     * anyway, and its caller does better to come back.
     */
    private static final double MAX_WAIT_OBJECTIVES = 1.3;

    /**
     * Latency objectives after which a stream that lost its engine is broken off. Its caller has a
     * part of the answer, and leaves after four of them without an event; the rest is for reading
     * the prompt again.
     */
    private static final double MAX_RESUMED_WAIT_OBJECTIVES = 2.6;

    /** Of the time left, the part after which the caller may come back; callers honour a third. */
    private static final double RETRY_AFTER_SHARE = 0.3;

    private QueueTimeout() {}

    /**
     * Returns when a request stops waiting for an engine.
     *
     * @param call the request
     * @return the monotonic time in nanoseconds
     */
    public static long expiryNanos(DispatchRequest call) {
        double most = (call.deadlineNanos() - call.arrivalNanos()) * MAX_WAIT_DEADLINE_SHARE;
        double objectives = call.resumed() ? MAX_RESUMED_WAIT_OBJECTIVES : MAX_WAIT_OBJECTIVES;
        double objective = (call.objectiveNanos() - call.arrivalNanos()) * objectives;
        return call.arrivalNanos()
                + (long) (call.needsModelEngine() ? Math.min(most, objective) : most);
    }

    /**
     * Tells whether a request that has no engine is to be refused rather than to wait on. This
     * holds as well for one that comes back from an engine which did not run it.
     *
     * @param call the request
     * @param now the monotonic time in nanoseconds
     * @return true once its waiting time is over
     */
    public static boolean isExpired(DispatchRequest call, long now) {
        return now >= expiryNanos(call);
    }

    /**
     * Returns how much longer a request waits.
     *
     * @param call the request
     * @param now the monotonic time in nanoseconds
     * @return milliseconds, not negative
     */
    public static long remainingMillis(DispatchRequest call, long now) {
        return Math.max(0, Duration.ofNanos(expiryNanos(call) - now).toMillis());
    }

    /**
     * Returns when the caller of a refused request may come back.
     *
     * @param call the request
     * @param now the monotonic time in nanoseconds
     * @return seconds from now
     */
    public static double retryAfterSeconds(DispatchRequest call, long now) {
        return Math.max(1e6, call.deadlineNanos() - now) / 1e9 * RETRY_AFTER_SHARE;
    }
}
