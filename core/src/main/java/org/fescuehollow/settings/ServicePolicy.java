package org.fescuehollow.settings;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The published settings of a service.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the service's name
 * @param servesModel true if its backend servers are model engines, false for a plain service
 * @param slots how many adapters an engine holds
 * @param batch how many requests a backend server runs at once
 * @param queue how many requests may wait for one backend server
 * @param weighting the trade-off between short stalls and full batches
 * @param fencing how the engines handle fencing numbers
 */
public record ServicePolicy(
        String name,
        boolean servesModel,
        int slots,
        int batch,
        int queue,
        Weighting weighting,
        FencingSupport fencing) {
    static ServicePolicy from(String name, JsonNode tree) {
        return new ServicePolicy(
                name,
                tree.path("kind").asText().equals("model"),
                tree.path("slots").asInt(8),
                tree.path("batch").asInt(16),
                tree.path("queue").asInt(256),
                Weighting.parse(tree.path("weighting").asText("stalls-first")),
                tree.path("fencing").asText("ignored").equals("checked")
                        ? FencingSupport.CHECKED
                        : FencingSupport.IGNORED);
    }
}
