package org.fescuehollow.error;

/** Error of a request that no backend server could accept in time. Stateless. */
public final class ShouldHaveCapacity {
    private ShouldHaveCapacity() {}

    /**
     * Creates the problem.
     *
     * @param service the service whose backend servers are full or unavailable
     * @param why the reason, such as "queue is full"
     * @param retryAfterSeconds the delay until capacity is expected, in seconds
     * @return the problem
     */
    public static Problem shouldHaveCapacity(String service, String why, int retryAfterSeconds) {
        return Problem.of(
                        ErrorCode.NO_CAPACITY,
                        RunState.NOT_RUN,
                        "expected a place on service '" + service + "', but " + why,
                        "send again after the time in Retry-After")
                .withRetryAfter(retryAfterSeconds);
    }
}
