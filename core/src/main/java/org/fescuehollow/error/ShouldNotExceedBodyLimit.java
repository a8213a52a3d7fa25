package org.fescuehollow.error;

/** Error of a request with a body above the size limit. Stateless. */
public final class ShouldNotExceedBodyLimit {
    private ShouldNotExceedBodyLimit() {}

    /**
     * Creates the problem.
     *
     * @param limitBytes the maximum size of the body, in bytes
     * @return the problem
     */
    public static Problem shouldNotExceedBodyLimit(long limitBytes) {
        return Problem.of(
                ErrorCode.BODY_TOO_LARGE,
                RunState.NOT_RUN,
                "expected a body of at most " + limitBytes + " bytes, got more",
                "send a smaller body");
    }
}
