package org.fescuehollow.dispatch;

import java.time.Duration;

/**
 * Decides how long a request waits for an engine, and when its client should retry.
 *
 * <p>Load pattern: more requests arrive than the engines can serve. A request that has waited
 * longer than its latency objective is late anyway; a retry, perhaps on another node, serves its
 * client better than waiting until the deadline.
 *
 * <p>Stateless and safe for use by any thread. Points in time are on the monotonic clock, in
 * nanoseconds.
 */
public final class QueueTimeout {
    /** Share of the time until the deadline that a request may wait for a server. */
    private static final double MAX_WAIT_DEADLINE_SHARE = 0.6;

    /**
     * Number of latency objectives that a request may wait for a model engine. A request that waits
     * longer is late anyway, and a retry serves its client better.
     */
    private static final double MAX_WAIT_OBJECTIVES = 1.3;

    /**
     * Number of latency objectives that a stream which lost its engine may wait. Its client has
     * part of the response and gives up after four objectives without an event; the remainder is
     * for prefilling the prompt again.
     */
    private static final double MAX_RESUMED_WAIT_OBJECTIVES = 2.6;

    /**
     * Share of the time until the deadline after which the client should retry. Clients honor at
     * most a third of that time.
     */
    private static final double RETRY_AFTER_SHARE = 0.3;

    /** A retry with less time than this left can't be answered before the deadline. */
    private static final long MIN_RETRY_NANOS = Duration.ofMillis(60).toNanos();

    private QueueTimeout() {}

    /**
     * Returns when a request stops waiting for an engine.
     *
     * @param request the request
     * @return the monotonic time in nanoseconds
     */
    public static long expiryNanos(DispatchRequest request) {
        double deadlineLimit =
                (request.deadlineNanos() - request.arrivalNanos()) * MAX_WAIT_DEADLINE_SHARE;
        double objectives = request.resumed() ? MAX_RESUMED_WAIT_OBJECTIVES : MAX_WAIT_OBJECTIVES;
        double objectiveLimit = (request.objectiveNanos() - request.arrivalNanos()) * objectives;
        return request.arrivalNanos()
                + (long)
                        (request.needsModelEngine()
                                ? Math.min(deadlineLimit, objectiveLimit)
                                : deadlineLimit);
    }

    /**
     * Returns whether a request without an engine should be rejected instead of waiting longer.
     * This also applies to a request that an engine rejected without running it.
     *
     * @param request the request
     * @param now the monotonic time in nanoseconds
     * @return true once its maximum wait has passed
     */
    public static boolean isExpired(DispatchRequest request, long now) {
        return now >= expiryNanos(request);
    }

    /**
     * Returns how much longer a request may wait.
     *
     * @param request the request
     * @param now the monotonic time in nanoseconds
     * @return milliseconds, not negative
     */
    public static long remainingMillis(DispatchRequest request, long now) {
        return Math.max(0, Duration.ofNanos(expiryNanos(request) - now).toMillis());
    }

    /**
     * Returns whether another engine could still answer a request before its deadline.
     *
     * @param request the request
     * @param now the monotonic time in nanoseconds
     * @return false if too little time is left
     */
    public static boolean hasTimeToRetry(DispatchRequest request, long now) {
        return request.deadlineNanos() - now > MIN_RETRY_NANOS;
    }

    /**
     * Returns when the client of a rejected request should retry.
     *
     * @param request the request
     * @param now the monotonic time in nanoseconds
     * @return the delay in seconds
     */
    public static double retryAfterSeconds(DispatchRequest request, long now) {
        return Math.max(1e6, request.deadlineNanos() - now) / 1e9 * RETRY_AFTER_SHARE;
    }
}
