package org.fescuehollow.error;

/** Errors of platform services and nodes that can't be reached. Stateless. */
public final class ShouldReachPeer {
    private ShouldReachPeer() {}

    /**
     * Creates the problem.
     *
     * @param what the service or node
     * @param ran whether the request may have run
     * @param why the cause
     * @return the problem
     */
    public static Problem shouldReachPeer(String what, RunState ran, String why) {
        return Problem.of(
                        ErrorCode.UNREACHABLE,
                        ran,
                        "expected to reach " + what + ", but " + why,
                        "send again if the call is idempotent or did not run")
                .retryAfter(1);
    }
}
