package org.fescuehollow.error;

/** Error of a request without a published API key of a team. Stateless. */
public final class ShouldHaveKnownApiKey {
    private ShouldHaveKnownApiKey() {}

    /**
     * Creates the problem.
     *
     * @return the problem, which is the same for a missing and an unknown key
     */
    public static Problem shouldHaveKnownApiKey() {
        return Problem.of(
                ErrorCode.UNAUTHENTICATED,
                RunState.NOT_RUN,
                "expected 'Authorization: Bearer KEY' with a key of a team, got none that is known",
                "send the key that your operator gave you");
    }
}
