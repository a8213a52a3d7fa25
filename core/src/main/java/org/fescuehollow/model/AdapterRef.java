package org.fescuehollow.model;

import static org.fescuehollow.internal.Preconditions.requireNonBlank;

import java.util.Comparator;
import java.util.Optional;

/**
 * An adapter and its version, which together identify exactly one set of weights.
 *
 * <pre>{@code
 * AdapterRef ref = AdapterRef.parse("care-notes@v2").orElseThrow();
 * }</pre>
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the adapter's name, without an at sign
 * @param version the version, without an at sign
 */
public record AdapterRef(String name, String version) implements Comparable<AdapterRef> {
    private static final Comparator<AdapterRef> ORDER =
            Comparator.comparing(AdapterRef::name).thenComparing(AdapterRef::version);

    /**
     * Creates the reference.
     *
     * @throws IllegalArgumentException if a part is blank or contains an at sign
     */
    public AdapterRef {
        requireNonBlank("adapter name", name);
        requireNonBlank("adapter version", version);
        if (name.indexOf('@') >= 0 || version.indexOf('@') >= 0) {
            throw new IllegalArgumentException(
                    "expected name and version without '@', got '" + name + "', '" + version + "'");
        }
    }

    /**
     * Parses the form {@code name@version}.
     *
     * @param text the text from a client
     * @return the reference, or empty if the text has a different form
     */
    public static Optional<AdapterRef> parse(String text) {
        int at = text == null ? -1 : text.indexOf('@');
        if (at <= 0 || at != text.lastIndexOf('@')) {
            return Optional.empty();
        }
        String name = text.substring(0, at);
        String version = text.substring(at + 1);
        if (name.isBlank() || version.isBlank()) {
            return Optional.empty();
        }
        return Optional.of(new AdapterRef(name, version));
    }

    @Override
    public int compareTo(AdapterRef other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns the name of the adapter on engines, which includes the version.
     *
     * @return {@code name@version}
     */
    @Override
    public String toString() {
        return name + "@" + version;
    }
}
