package org.fescuehollow.settings;

import static org.fescuehollow.error.ShouldBeValidSettings.shouldBeValidSettings;

import org.fescuehollow.error.FescuehollowException;

/**
 * Parses published texts into typed values and refuses texts that don't match their schema.
 *
 * <p>The result depends only on the path and the text, so that all nodes refuse the same values.
 * Stateless and safe for use by any thread.
 */
public final class SettingsParser {
    private SettingsParser() {}

    /**
     * Parses a value.
     *
     * @param path the path under which it is published
     * @param text the YAML text
     * @return a {@link TeamAccess}, {@link TeamTraffic}, {@link ServicePolicy} or {@link
     *     StorePolicy}
     * @throws FescuehollowException if the path or the value isn't valid
     */
    public static Object parse(String path, String text) {
        SettingsPath kind =
                SettingsPath.of(path)
                        .orElseThrow(
                                () ->
                                        new FescuehollowException(
                                                shouldBeValidSettings(
                                                        path,
                                                        0,
                                                        "expected teams/NAME/access,"
                                                                + " teams/NAME/traffic,"
                                                                + " services/NAME or store")));
        YamlDocument doc = YamlDocument.read(path, text);
        SchemaValidator.of(kind.schema()).validate(path, doc);
        String subject = kind.subject(path);
        return switch (kind) {
            case TEAM_ACCESS -> TeamAccess.from(subject, doc.tree());
            case TEAM_TRAFFIC -> TeamTraffic.from(doc.tree());
            case SERVICE -> ServicePolicy.from(subject, doc.tree());
            case STORE -> StorePolicy.from(path, doc);
        };
    }
}
