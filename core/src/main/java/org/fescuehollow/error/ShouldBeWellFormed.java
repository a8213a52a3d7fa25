package org.fescuehollow.error;

/** Error of a request whose form is wrong. Stateless. */
public final class ShouldBeWellFormed {
    private ShouldBeWellFormed() {}

    /**
     * Creates the problem.
     *
     * @param place the header or member that is wrong
     * @param expected what was expected there
     * @param actual what was found
     * @return the problem
     */
    public static Problem shouldBeWellFormed(String place, String expected, String actual) {
        return Problem.of(
                ErrorCode.INVALID_REQUEST,
                RunState.NOT_RUN,
                place + ": expected " + expected + ", got " + actual,
                "correct " + place + " and send again");
    }
}
