package org.fescuehollow.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies tickets with the HMAC key of one ledger.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class TicketSigner {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC_BYTES = 16;

    private final SecretKeySpec mSecret;

    /**
     * Creates a signer.
     *
     * @param secret random bytes, used as the HMAC key
     */
    public TicketSigner(byte[] secret) {
        mSecret = new SecretKeySpec(secret, ALGORITHM);
    }

    /**
     * Creates a signed ticket.
     *
     * @param node id of the node that issues the ticket
     * @param incarnation incarnation of the process that issues the ticket
     * @param serial the ticket's serial number
     * @return the ticket
     */
    public Ticket sign(String node, String incarnation, long serial) {
        Ticket unsigned = new Ticket(node, incarnation, serial, "");
        return new Ticket(node, incarnation, serial, computeMac(unsigned));
    }

    /**
     * Returns whether a ticket was signed with this key.
     *
     * @param ticket the ticket
     * @return true if its MAC matches
     */
    public boolean verify(Ticket ticket) {
        return MessageDigest.isEqual(
                computeMac(ticket).getBytes(StandardCharsets.US_ASCII),
                ticket.mac().getBytes(StandardCharsets.US_ASCII));
    }

    private String computeMac(Ticket ticket) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mSecret);
            byte[] hash =
                    mac.doFinal(ticket.authenticatedText().getBytes(StandardCharsets.US_ASCII));
            return HexFormat.of().formatHex(hash, 0, MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    ALGORITHM + " is not available in this Java runtime", e);
        }
    }
}
