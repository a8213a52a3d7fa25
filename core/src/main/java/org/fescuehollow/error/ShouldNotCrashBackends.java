package org.fescuehollow.error;

/** Error of a request that has crashed backend servers. Stateless. */
public final class ShouldNotCrashBackends {
    private ShouldNotCrashBackends() {}

    /**
     * Creates the problem.
     *
     * @param crashes how many backend servers crashed while they ran it
     * @return the problem
     */
    public static Problem shouldNotCrashBackends(int crashes) {
        return Problem.of(
                ErrorCode.CRASHING_REQUEST,
                RunState.NOT_RUN,
                "expected no crash of backend servers, but " + crashes + " crashed on this request",
                "change the request; if it looks harmless, tell the operators of the service");
    }
}
