package org.fescuehollow.idempotency;

import java.util.Optional;

/**
 * One used ticket of a ledger.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param serial the ticket's number
 * @param digest the digest of its call
 * @param outcome what became of it, once known
 */
public record LedgerRecord(long serial, long digest, Optional<Outcome> outcome) {
    /** Returns the size of the answer that the record keeps, in bytes. */
    int bodyBytes() {
        return outcome.map(o -> o.body().length).orElse(0);
    }
}
