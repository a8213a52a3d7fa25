package org.fescuehollow.gateway.testsupport;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** The settings file of a node of a test cluster. Stateless and safe for use by any thread. */
final class NodeSettingsText {
    private NodeSettingsText() {}

    static String of(
            int node,
            int listenPort,
            int readinessPort,
            int exchangePort,
            String store,
            JsonObject bounds) {
        String ip = "127.0.0." + (node + 1);
        return new JsonObject()
                .put("node", "node-" + node)
                .put("domain", "north")
                .put("ip", ip)
                .put("callers", ip + ":" + listenPort)
                .put("readiness", ip + ":" + readinessPort)
                .put("exchangePorts", new JsonArray().add(exchangePort))
                .put("seeds", new JsonArray().add("127.0.0.1:1"))
                .put("store", store)
                .put("bounds", bounds)
                .encode();
    }
}
