package org.fescuehollow.idempotency;

import java.util.List;

/**
 * All that another node needs to answer for a ledger whose node stops.
 *
 * <p>Immutable; the secret must not be changed. Safe for use by any thread.
 *
 * @param node the node that minted the tickets
 * @param incarnation the life that minted them
 * @param secret seals the tickets
 * @param nextSerial no ticket with this number or a higher one was minted
 * @param forgottenBelow unremembered tickets below this number never run
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
     * Tells whose tickets these are.
     *
     * @return node and incarnation
     */
    public String ledgerId() {
        return node + "/" + incarnation;
    }
}
