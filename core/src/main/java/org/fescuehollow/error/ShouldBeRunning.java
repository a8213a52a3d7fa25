package org.fescuehollow.error;

/** Error of a request that reaches a stopping node. Stateless. */
public final class ShouldBeRunning {
    private ShouldBeRunning() {}

    /**
     * Creates the problem.
     *
     * @param node the id of the stopping node
     * @return the problem
     */
    public static Problem shouldBeRunning(String node) {
        return Problem.of(
                        ErrorCode.STOPPING,
                        RunState.NOT_RUN,
                        "expected node " + node + " to accept requests, but it is stopping",
                        "send again; the load balancer selects another node")
                .withRetryAfter(1);
    }
}
