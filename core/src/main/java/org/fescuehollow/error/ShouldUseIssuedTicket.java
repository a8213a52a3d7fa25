package org.fescuehollow.error;

/** Error of a ticket that was not issued by the node it names. Stateless. */
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
                "header Idempotency-Key: expected an issued ticket, got an altered one",
                "request a new ticket at /v1/tickets");
    }
}
