package org.fescuehollow.gateway.node;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of an entry node, which the platform fills into the settings template.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param node this node's name
 * @param domain the failure domain of this node
 * @param ip the IP address of this node
 * @param listenAddress the address on which clients connect
 * @param readinessAddress the address on which the platform polls readiness
 * @param exchangePort the UDP port for messages between entry nodes, the same on all nodes
 * @param seeds the IP addresses of some entry nodes
 * @param storeAddress the address of the platform's key-value store
 * @param settlingMillis the time within which changes must be in force after the store is reachable
 *     again, in milliseconds
 * @param drainMillis the time after which a draining engine must get no more requests, in
 *     milliseconds
 * @param leaseMillis the time within which two nodes must not give orders to the same engine, in
 *     milliseconds
 * @param retryRatio the retries allowed per request, over all nodes
 * @param retrySlack the retries allowed in a window in addition to the ratio, over all nodes
 * @param retryWindowSeconds the window to which both retry limits apply, in seconds
 * @param graceSeconds the time from the stop signal until the process is killed, in seconds
 * @param heartbeatMillis the time between two writes of an engine's entry, in milliseconds
 * @param storeHistorySeconds how long the store keeps changes, in seconds
 * @param memoryMegabytes the memory limit of this process, in megabytes
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
        long drainMillis,
        long leaseMillis,
        double retryRatio,
        double retrySlack,
        double retryWindowSeconds,
        double graceSeconds,
        long heartbeatMillis,
        double storeHistorySeconds,
        int memoryMegabytes) {
    /** The environment variable with the path of the settings file. */
    public static final String SETTINGS_FILE_VARIABLE = "FESCUEHOLLOW_SETTINGS";

    /**
     * An IP address and a port.
     *
     * @param host the IP address
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
     * Reads the settings file.
     *
     * @param file the file
     * @return the settings
     * @throws IllegalArgumentException if a setting is missing or malformed
     */
    public static NodeSettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read settings file " + file, e);
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @param text the text of the file, in JSON
     * @return the settings
     * @throws IllegalArgumentException if a setting is missing or malformed
     */
    public static NodeSettings parse(String text) {
        JsonObject json = new JsonObject(text);
        JsonArray seeds = json.getJsonArray("seeds", new JsonArray());
        JsonObject bounds = json.getJsonObject("bounds", new JsonObject());
        return new NodeSettings(
                required(json, "node"),
                required(json, "domain"),
                required(json, "ip"),
                Address.parse("callers", json.getString("callers")),
                Address.parse("readiness", json.getString("readiness")),
                json.getJsonArray("exchangePorts").getInteger(0),
                seeds.stream().map(s -> Address.parse("seeds", (String) s).host()).toList(),
                Address.parse("store", json.getString("store")),
                bounds.getNumber("settlingMillis", 3_000).longValue(),
                bounds.getNumber("drainMillis", 2_000).longValue(),
                bounds.getNumber("leaseMillis", 3_000).longValue(),
                bounds.getNumber("retryRatio", 0.1).doubleValue(),
                bounds.getNumber("retrySlack", 10).doubleValue(),
                bounds.getNumber("retryWindowSeconds", 10).doubleValue(),
                bounds.getNumber("graceSeconds", 8).doubleValue(),
                json.getNumber("heartbeatMillis", 1_200).longValue(),
                json.getNumber("storeHistorySeconds", 20).doubleValue(),
                json.getNumber("memoryMegabytes", 256).intValue());
    }

    private static String required(JsonObject json, String name) {
        String value = json.getString(name);
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("setting " + name + " is missing or blank; add it");
        }
        return value;
    }
}
