package org.fescuehollow.settings;

import static org.fescuehollow.internal.Preconditions.requireNonBlank;
import static org.fescuehollow.internal.Preconditions.requireNonNull;

import java.util.Optional;

/**
 * A published value of a path, or its deletion.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param path the path, such as {@code teams/rennes-pets/access}
 * @param revision the revision that the platform assigned
 * @param text the YAML text; empty for a deletion
 */
public record SettingsEntry(String path, Revision revision, Optional<String> text) {
    /**
     * Creates the entry.
     *
     * @throws IllegalArgumentException if the path is blank
     */
    public SettingsEntry {
        requireNonBlank("settings path", path);
        requireNonNull("settings revision", revision);
        requireNonNull("settings text", text);
    }

    /**
     * Returns an entry with a value.
     *
     * @param path the path
     * @param revision the revision's number
     * @param text the YAML text
     * @return the entry
     */
    public static SettingsEntry value(String path, long revision, String text) {
        return new SettingsEntry(path, new Revision(revision), Optional.of(text));
    }

    /**
     * Returns a deletion.
     *
     * @param path the path
     * @param revision the revision's number
     * @return the entry
     */
    public static SettingsEntry deletion(String path, long revision) {
        return new SettingsEntry(path, new Revision(revision), Optional.empty());
    }
}
