package org.fescuehollow.server.config;

import static org.fescuehollow.error.ShouldBeValidSettings.shouldBeValidSettings;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.Optional;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.settings.SchemaValidator;
import org.fescuehollow.settings.YamlDocument;

/**
 * The settings of one process, read from its own YAML file.
 *
 * <pre>{@code
 * NodeConfig config = NodeConfig.parse("node.yaml", text);
 * }</pre>
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param nodeId the VM's id in the VM list
 * @param domain the failure domain
 * @param callers where callers connect
 * @param peers where other nodes connect, by TCP and UDP
 * @param admin where operators connect
 * @param operatorKeyHash SHA-256 of the operators' key; empty leaves the port open
 * @param settingsUrl the settings service's base URL
 * @param vmListUrl the VM list's base URL
 * @param limits bounds of sizes and times
 */
public record NodeConfig(
        String nodeId,
        String domain,
        ListenAddress callers,
        ListenAddress peers,
        ListenAddress admin,
        Optional<String> operatorKeyHash,
        URI settingsUrl,
        URI vmListUrl,
        Limits limits) {
    /**
     * Reads the file's text.
     *
     * @param place the file's name, for errors
     * @param text the YAML text
     * @return the settings
     * @throws FescuehollowException if the text doesn't fit the schema
     */
    public static NodeConfig parse(String place, String text) {
        YamlDocument doc = YamlDocument.read(place, text);
        SchemaValidator.of("node").validate(place, doc);
        JsonNode tree = doc.tree();
        JsonNode listen = tree.path("listen");
        return new NodeConfig(
                tree.path("node").path("id").asText(),
                tree.path("node").path("failure_domain").asText(),
                ListenAddress.from(listen.path("callers")),
                ListenAddress.from(listen.path("peers")),
                ListenAddress.from(listen.path("admin")),
                Optional.of(tree.path("admin").path("operator_key_sha256").asText(""))
                        .filter(s -> !s.isEmpty()),
                url(place, doc, "settings"),
                url(place, doc, "vm_list"),
                Limits.from(tree.path("limits")));
    }

    private static URI url(String place, YamlDocument doc, String member) {
        String text = doc.tree().path("platform").path(member).asText();
        try {
            return URI.create(text);
        } catch (IllegalArgumentException e) {
            throw new FescuehollowException(
                    shouldBeValidSettings(
                            place,
                            doc.lineOf("/platform/" + member),
                            "expected an http URL, got '" + text + "': " + e.getMessage()));
        }
    }
}
