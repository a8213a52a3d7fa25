package org.fescuehollow.error;

/** Error of a platform service or node that can't be reached. Stateless. */
public final class ShouldBeReachable {
    private ShouldBeReachable() {}

    /**
     * Creates the problem.
     *
     * @param what the service or node
     * @param ran whether the request may have run
     * @param why the cause
     * @return the problem
     */
    public static Problem shouldBeReachable(String what, RunState ran, String why) {
        return Problem.of(
                        ErrorCode.UNREACHABLE,
                        ran,
                        "expected to reach " + what + ", but " + why,
                        "send again if the call is idempotent or did not run")
                .withRetryAfter(1);
    }
}
