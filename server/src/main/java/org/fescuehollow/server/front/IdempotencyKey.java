package org.fescuehollow.server.front;

import static org.fescuehollow.error.ShouldBeWellFormed.shouldBeWellFormed;

import java.util.Optional;
import org.fescuehollow.error.FescuehollowException;

/**
 * Reads the Idempotency-Key header, a structured-field string as in the IETF draft.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class IdempotencyKey {
    /** The header's name. */
    public static final String HEADER = "Idempotency-Key";

    private static final int MAX_LENGTH = 255;

    private IdempotencyKey() {}

    /**
     * Reads a header value; the quotes may be missing.
     *
     * @param header the value, null if there is none
     * @return the key
     * @throws FescuehollowException if the value is empty, too long or has other characters
     */
    public static Optional<String> read(String header) {
        if (header == null) {
            return Optional.empty();
        }
        String text = header.trim();
        if (text.length() >= 2 && text.startsWith("\"") && text.endsWith("\"")) {
            text = text.substring(1, text.length() - 1);
        }
        boolean printable = text.chars().allMatch(c -> c > ' ' && c < 127 && c != '"' && c != '\\');
        if (text.isEmpty() || text.length() > MAX_LENGTH || !printable) {
            throw new FescuehollowException(
                    shouldBeWellFormed(
                            "header " + HEADER,
                            "1 to " + MAX_LENGTH + " printable characters without spaces",
                            "'" + header + "'"));
        }
        return Optional.of(text);
    }
}
