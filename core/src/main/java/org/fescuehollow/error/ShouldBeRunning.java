package org.fescuehollow.error;

/** Error of a request that reaches a node while it stops. Stateless. */
public final class ShouldBeRunning {
    private ShouldBeRunning() {}

    /**
     * Creates the problem.
     *
     * @param node the node that stops
     * @return the problem
     */
    public static Problem shouldBeRunning(String node) {
        return Problem.of(
                        ErrorCode.STOPPING,
                        RunState.NOT_RUN,
                        "expected node " + node + " to take requests, it stops",
                        "send again; the balancer picks another node")
                .withRetryAfter(1);
    }
}
