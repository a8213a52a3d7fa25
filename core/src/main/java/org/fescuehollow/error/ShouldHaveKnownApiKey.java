package org.fescuehollow.error;

/** Error of a call without a key that a team has published. Stateless. */
public final class ShouldHaveKnownApiKey {
    private ShouldHaveKnownApiKey() {}

    /**
     * Creates the problem.
     *
     * @return the problem; it doesn't tell a missing key from an unknown one
     */
    public static Problem shouldHaveKnownApiKey() {
        return Problem.of(
                ErrorCode.UNAUTHENTICATED,
                RunState.NOT_RUN,
                "expected 'Authorization: Bearer KEY' with a key of a team, got none that is known",
                "send the key that your operator gave you");
    }
}
