package org.fescuehollow.idempotency;

import java.util.Optional;

/**
 * A used ticket of a ledger and the outcome of its call.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param serial the ticket's serial number
 * @param digest the digest of the call
 * @param outcome the outcome, or empty while the call runs
 */
public record LedgerRecord(long serial, long digest, Optional<Outcome> outcome) {
    /** Returns the size of the stored response body in bytes. */
    int bodyBytes() {
        return outcome.map(o -> o.body().length).orElse(0);
    }
}
