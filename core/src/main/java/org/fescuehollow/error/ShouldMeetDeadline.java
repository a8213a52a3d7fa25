package org.fescuehollow.error;

/** Error of a request whose deadline passed while it was queued. Stateless. */
public final class ShouldMeetDeadline {
    private ShouldMeetDeadline() {}

    /**
     * Creates the problem.
     *
     * @param waitedMillis how long the request waited, in milliseconds
     * @return the problem
     */
    public static Problem shouldMeetDeadline(long waitedMillis) {
        return Problem.of(
                        ErrorCode.DEADLINE_PASSED,
                        RunState.NOT_RUN,
                        "expected a start before the deadline, but waited " + waitedMillis + " ms",
                        "send again")
                .withRetryAfter(1);
    }
}
