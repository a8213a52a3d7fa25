package org.fescuehollow.error;

/** Error of a malformed request. Stateless. */
public final class ShouldBeWellFormed {
    private ShouldBeWellFormed() {}

    /**
     * Creates the problem.
     *
     * @param location the invalid header or member
     * @param expected what was expected there
     * @param actual what was found
     * @return the problem
     */
    public static Problem shouldBeWellFormed(String location, String expected, String actual) {
        return Problem.of(
                ErrorCode.INVALID_REQUEST,
                RunState.NOT_RUN,
                location + ": expected " + expected + ", got " + actual,
                "correct " + location + " and send again");
    }
}
