package org.fescuehollow.error;

/** Error of settings or of a command line that don't fit their schema. Stateless. */
public final class ShouldBeValidSettings {
    private ShouldBeValidSettings() {}

    /**
     * Creates the problem.
     *
     * @param place the file or path
     * @param line the line, counted from one; zero if unknown
     * @param expected what was expected, and what was found
     * @return the problem
     */
    public static Problem shouldBeValidSettings(String place, int line, String expected) {
        return Problem.of(
                ErrorCode.INVALID_SETTINGS,
                RunState.NOT_RUN,
                place + (line > 0 ? ":" + line : "") + ": " + expected,
                "correct the value; check it with 'fescuehollow check'");
    }
}
