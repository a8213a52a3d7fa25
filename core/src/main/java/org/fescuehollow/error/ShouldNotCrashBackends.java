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
                "expected a request that backend servers survive, " + crashes + " crashed on it",
                "change the request; tell the operators of the service if it looks harmless");
    }
}
