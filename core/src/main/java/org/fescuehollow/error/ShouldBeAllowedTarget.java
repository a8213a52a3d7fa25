package org.fescuehollow.error;

/** Error of a request to an adapter or service that the team may not use. Stateless. */
public final class ShouldBeAllowedTarget {
    private ShouldBeAllowedTarget() {}

    /**
     * Creates the problem, which is the same for an unknown target and another team's.
     *
     * @param name the target as the client wrote it
     * @return the problem
     */
    public static Problem shouldBeAllowedTarget(String name) {
        return Problem.of(
                ErrorCode.UNKNOWN_TARGET,
                RunState.NOT_RUN,
                "expected an adapter and version or a service of your team, got '" + name + "'",
                "list what you may call at /v1/models, or ask your operator to publish it");
    }
}
