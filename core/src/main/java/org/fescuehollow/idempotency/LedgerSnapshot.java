package org.fescuehollow.idempotency;

import java.util.List;

/**
 * The state of a ledger that a stopping node hands over, so that another node can decide on its
 * tickets.
 *
 * <p>Immutable; the secret must not be changed. Safe for use by any thread.
 *
 * @param node id of the node that issued the tickets
 * @param incarnation incarnation of the process that issued the tickets
 * @param secret the HMAC key of the tickets
 * @param nextSerial tickets with this serial number or a higher one were never issued
 * @param forgottenBelow a ticket with a lower serial number and no record never runs
 * @param records the used tickets
 */
public record LedgerSnapshot(
        String node,
        String incarnation,
        byte[] secret,
        long nextSerial,
        long forgottenBelow,
        List<LedgerRecord> records) {
    /** Creates the snapshot from a copy of the records. */
    public LedgerSnapshot {
        records = List.copyOf(records);
    }

    /**
     * Returns the id of the ledger.
     *
     * @return node id and incarnation, separated by a slash
     */
    public String ledgerId() {
        return node + "/" + incarnation;
    }
}
