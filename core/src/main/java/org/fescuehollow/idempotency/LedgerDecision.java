package org.fescuehollow.idempotency;

import org.fescuehollow.error.Problem;

/** The decision of a ledger on the call of a ticket. Immutable and safe for use by any thread. */
public sealed interface LedgerDecision {
    /** The ticket is unused and is now recorded as used: run the call. */
    record Run() implements LedgerDecision {}

    /**
     * The call has ended: return its outcome again.
     *
     * @param outcome the recorded outcome
     */
    record Replay(Outcome outcome) implements LedgerDecision {}

    /**
     * The call must not run.
     *
     * @param problem the reason
     */
    record Refuse(Problem problem) implements LedgerDecision {}
}
