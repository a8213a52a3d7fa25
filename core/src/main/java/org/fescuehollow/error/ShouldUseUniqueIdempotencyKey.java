package org.fescuehollow.error;

/** Errors of idempotency keys. Stateless. */
public final class ShouldUseUniqueIdempotencyKey {
    private ShouldUseUniqueIdempotencyKey() {}

    /**
     * Creates the problem of a key that was used before with a different request.
     *
     * @return the problem
     */
    public static Problem shouldMatchFirstRequest() {
        return Problem.of(
                ErrorCode.KEY_REUSED,
                RunState.NOT_RUN,
                "expected the same request for this Idempotency-Key, got a different one",
                "use a new key for a new request");
    }

    /**
     * Creates the problem of a key whose request is still running.
     *
     * @return the problem
     */
    public static Problem shouldNotBeInProgress() {
        return Problem.of(
                        ErrorCode.KEY_IN_PROGRESS,
                        RunState.OUTCOME_UNKNOWN,
                        "expected the first request with this key to have ended, it still runs",
                        "ask again with the same key for its outcome")
                .withRetryAfter(1);
    }

    /**
     * Creates the problem of a key whose outcome is unknown.
     *
     * @param why the reason
     * @return the problem
     */
    public static Problem shouldHaveKnownOutcome(String why) {
        return Problem.of(
                ErrorCode.KEY_OUTCOME_UNKNOWN,
                RunState.OUTCOME_UNKNOWN,
                "expected a known outcome for this key, but " + why,
                "look up the outcome at the service before you use a new key");
    }

    /**
     * Creates the problem of a key that can't be proven unused.
     *
     * @param ticket a new ticket
     * @return the problem
     */
    public static Problem shouldUseTicket(String ticket) {
        return Problem.of(
                        ErrorCode.TICKET_REQUIRED,
                        RunState.NOT_RUN,
                        "expected a ticket as Idempotency-Key for a call that must not repeat",
                        "send the call once more with the ticket offered here as its key")
                .withTicket(ticket);
    }
}
