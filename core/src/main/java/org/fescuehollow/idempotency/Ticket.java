package org.fescuehollow.idempotency;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An idempotency key that identifies the one node that may run its call.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param node id of the node that issued the ticket
 * @param incarnation incarnation of the process that issued the ticket
 * @param serial serial number; counts from zero in each incarnation
 * @param mac HMAC of the other parts, in hexadecimal; proves to the issuer that the ticket is its
 *     own
 */
public record Ticket(String node, String incarnation, long serial, String mac) {
    private static final String VERSION_PREFIX = "t1";
    private static final Pattern FORMAT =
            Pattern.compile(
                    VERSION_PREFIX
                            + "\\.([A-Za-z0-9-]+)\\.([A-Za-z0-9-]+)\\.([0-9]{1,18})\\.([0-9a-f]+)");

    /**
     * Parses an idempotency key.
     *
     * @param key the key that a client sent
     * @return the ticket, or empty if the key is not a ticket
     */
    public static Optional<Ticket> parse(String key) {
        Matcher m = FORMAT.matcher(key);
        return m.matches()
                ? Optional.of(
                        new Ticket(m.group(1), m.group(2), Long.parseLong(m.group(3)), m.group(4)))
                : Optional.empty();
    }

    /**
     * Returns the text that the MAC covers.
     *
     * @return the ticket's text form without the MAC
     */
    public String authenticatedText() {
        return VERSION_PREFIX + "." + node + "." + incarnation + "." + serial;
    }

    /**
     * Returns the idempotency key.
     *
     * @return the ticket's text form, as a client sends it
     */
    @Override
    public String toString() {
        return authenticatedText() + "." + mac;
    }
}
