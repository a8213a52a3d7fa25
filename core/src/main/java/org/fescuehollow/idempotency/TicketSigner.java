package org.fescuehollow.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Seals tickets with a secret that only one process's life knows.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class TicketSigner {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC_BYTES = 16;

    private final SecretKeySpec mSecret;

    /**
     * Creates a seal.
     *
     * @param secret random bytes
     */
    public TicketSigner(byte[] secret) {
        mSecret = new SecretKeySpec(secret, ALGORITHM);
    }

    /**
     * Makes a sealed ticket.
     *
     * @param node the minting node's id
     * @param incarnation the minting process's life
     * @param serial the ticket's number
     * @return the ticket
     */
    public Ticket sign(String node, String incarnation, long serial) {
        Ticket open = new Ticket(node, incarnation, serial, "");
        return new Ticket(node, incarnation, serial, computeMac(open));
    }

    /**
     * Tells whether a ticket was sealed here.
     *
     * @param ticket the ticket
     * @return true if its seal fits
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
            byte[] sum =
                    mac.doFinal(ticket.authenticatedText().getBytes(StandardCharsets.US_ASCII));
            return HexFormat.of().formatHex(sum, 0, MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("expected " + ALGORITHM + " in this Java runtime", e);
        }
    }
}
