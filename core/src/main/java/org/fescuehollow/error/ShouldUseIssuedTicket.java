package org.fescuehollow.error;

/** Error of a ticket that its node did not mint. Stateless. */
public final class ShouldUseIssuedTicket {
    private ShouldUseIssuedTicket() {}

    /**
     * Creates the problem.
     *
     * @return the problem
     */
    public static Problem shouldUseIssuedTicket() {
        return Problem.of(
                ErrorCode.INVALID_REQUEST,
                RunState.NOT_RUN,
                "header Idempotency-Key: expected a ticket as minted, got one that was altered",
                "take a new ticket at /v1/tickets");
    }
}
