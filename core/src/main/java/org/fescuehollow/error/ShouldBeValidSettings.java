package org.fescuehollow.error;

/** Error of settings or a command line that violate their schema. Stateless. */
public final class ShouldBeValidSettings {
    private ShouldBeValidSettings() {}

    /**
     * Creates the problem.
     *
     * @param location the file or the settings path
     * @param line the line number, starting at one; zero if unknown
     * @param expected what was expected, and what was found
     * @return the problem
     */
    public static Problem shouldBeValidSettings(String location, int line, String expected) {
        return Problem.of(
                ErrorCode.INVALID_SETTINGS,
                RunState.NOT_RUN,
                location + (line > 0 ? ":" + line : "") + ": " + expected,
                "correct the value; check it with 'fescuehollow check'");
    }
}
