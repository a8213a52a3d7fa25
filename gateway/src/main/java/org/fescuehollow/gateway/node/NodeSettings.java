package org.fescuehollow.gateway.node;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of an entry node, as the platform fills in the project's template.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param node this node's name
 * @param domain its failure domain
 * @param ip its IP number
 * @param listenAddress where callers connect
 * @param readinessAddress where the platform asks whether this node takes new connections
 * @param exchangePort the UDP port on which entry nodes talk, the same on all
 * @param seeds IP numbers of some entry nodes
 * @param storeAddress the address of the platform's store
 * @param settlingMillis the time from the store's return until its news has to be in force
 * @param leaseMillis the time within which two nodes must not give orders to one engine
 * @param retryRatio repeats allowed for each request, over all nodes
 * @param retrySlack repeats allowed besides
 * @param retryWindowSeconds the window over which both hold
 * @param graceSeconds the time from a request to stop to the kill
 * @param memoryMegabytes the memory this process may use
 */
public record NodeSettings(
        String node,
        String domain,
        String ip,
        Address listenAddress,
        Address readinessAddress,
        int exchangePort,
        List<String> seeds,
        Address storeAddress,
        long settlingMillis,
        long leaseMillis,
        double retryRatio,
        double retrySlack,
        double retryWindowSeconds,
        double graceSeconds,
        int memoryMegabytes) {
    /** The environment variable that names the settings file. */
    public static final String SETTINGS_FILE_VARIABLE = "FESCUEHOLLOW_SETTINGS";

    /**
     * An IP number and a port.
     *
     * @param host the IP number
     * @param port the port
     */
    public record Address(String host, int port) {
        static Address parse(String name, String text) {
            int colon = text == null ? -1 : text.lastIndexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException(
                        "expected "
                                + name
                                + " as IP:PORT, got '"
                                + text
                                + "'; correct the setting");
            }
            return new Address(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        }
    }

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws IllegalArgumentException if a setting is missing or has another form
     */
    public static NodeSettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new UncheckedIOException("expected a settings file at " + file, e);
        }
    }

    /**
     * Reads settings.
     *
     * @param text their text
     * @return the settings
     * @throws IllegalArgumentException if a setting is missing or has another form
     */
    public static NodeSettings parse(String text) {
        JsonObject o = new JsonObject(text);
        JsonArray seeds = o.getJsonArray("seeds", new JsonArray());
        JsonObject bounds = o.getJsonObject("bounds", new JsonObject());
        return new NodeSettings(
                required(o, "node"),
                required(o, "domain"),
                required(o, "ip"),
                Address.parse("callers", o.getString("callers")),
                Address.parse("readiness", o.getString("readiness")),
                o.getJsonArray("exchangePorts").getInteger(0),
                seeds.stream().map(s -> Address.parse("seeds", (String) s).host()).toList(),
                Address.parse("store", o.getString("store")),
                bounds.getNumber("settlingMillis", 3_000).longValue(),
                bounds.getNumber("leaseMillis", 3_000).longValue(),
                bounds.getNumber("retryRatio", 0.1).doubleValue(),
                bounds.getNumber("retrySlack", 10).doubleValue(),
                bounds.getNumber("retryWindowSeconds", 10).doubleValue(),
                bounds.getNumber("graceSeconds", 8).doubleValue(),
                o.getNumber("memoryMegabytes", 256).intValue());
    }

    private static String required(JsonObject o, String name) {
        String value = o.getString(name);
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(
                    "expected setting " + name + " with text, got nothing; add it");
        }
        return value;
    }
}
