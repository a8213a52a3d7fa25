package org.fescuehollow.idempotency;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An idempotency key that names the one node that may run its call.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param node the minting node's id
 * @param incarnation the minting process's life
 * @param serial counts the tickets of that life from zero
 * @param mac proves to the minter that it made the ticket
 */
public record Ticket(String node, String incarnation, long serial, String mac) {
    private static final String VERSION_PREFIX = "t1";
    private static final Pattern FORMAT =
            Pattern.compile(
                    VERSION_PREFIX
                            + "\\.([A-Za-z0-9-]+)\\.([A-Za-z0-9-]+)\\.([0-9]{1,18})\\.([0-9a-f]+)");

    /**
     * Reads a key.
     *
     * @param key what a caller sent
     * @return the ticket, or empty if the key is none
     */
    public static Optional<Ticket> parse(String key) {
        Matcher m = FORMAT.matcher(key);
        return m.matches()
                ? Optional.of(
                        new Ticket(m.group(1), m.group(2), Long.parseLong(m.group(3)), m.group(4)))
                : Optional.empty();
    }

    /**
     * Returns the part that the seal covers.
     *
     * @return the ticket's text without its seal
     */
    public String authenticatedText() {
        return VERSION_PREFIX + "." + node + "." + incarnation + "." + serial;
    }

    /**
     * Returns the key.
     *
     * @return the text that a caller sends
     */
    @Override
    public String toString() {
        return authenticatedText() + "." + mac;
    }
}
