package org.fescuehollow.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.settings.Revision;
import org.fescuehollow.settings.SettingsEntry;

/**
 * One answer of the platform's settings service.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param revision the revision up to which the answer is complete
 * @param entries the entries changed since the revision asked for
 */
public record SettingsPage(long revision, List<SettingsEntry> entries) {
    /** Creates the page from a copy. */
    public SettingsPage {
        entries = List.copyOf(entries);
    }

    /**
     * Reads the service's JSON form.
     *
     * @param json the body of an answer
     * @return the page
     * @throws FescuehollowException if the form is wrong
     */
    public static SettingsPage parse(byte[] json) {
        JsonNode tree = Json.read("settings service", json);
        List<SettingsEntry> entries = new ArrayList<>();
        tree.path("entries").forEach(e -> entries.add(entry(e)));
        return new SettingsPage(tree.path("revision").asLong(), entries);
    }

    private static SettingsEntry entry(JsonNode e) {
        JsonNode text = e.path("text");
        return new SettingsEntry(
                Json.text("settings service", e, "path"),
                new Revision(e.path("revision").asLong()),
                text.isTextual() ? Optional.of(text.asText()) : Optional.empty());
    }
}
