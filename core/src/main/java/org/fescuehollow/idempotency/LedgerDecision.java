package org.fescuehollow.idempotency;

import org.fescuehollow.error.Problem;

/** What a ledger says of a key. Immutable and safe for use by any thread. */
public sealed interface LedgerDecision {
    /** The key is new and now recorded: run the call. */
    record Run() implements LedgerDecision {}

    /**
     * The call ran before: tell its outcome.
     *
     * @param outcome the recorded outcome
     */
    record Replay(Outcome outcome) implements LedgerDecision {}

    /**
     * The call may not run.
     *
     * @param problem the reason
     */
    record Refuse(Problem problem) implements LedgerDecision {}
}
