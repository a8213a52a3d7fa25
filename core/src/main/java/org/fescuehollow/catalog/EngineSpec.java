package org.fescuehollow.catalog;

import java.util.Map;

/**
 * Capacity of the engines of a service.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param slots requests that run concurrently
 * @param kvCacheTokens KV cache for running requests and cached prompts, in tokens
 * @param adapterSlots adapters that an engine can have loaded
 * @param modelLoadMillis the load time from the weight store, by base model
 */
public record EngineSpec(
        int slots, long kvCacheTokens, int adapterSlots, Map<String, Long> modelLoadMillis) {
    /** The specification of servers of which nothing is known. */
    public static final EngineSpec NONE = new EngineSpec(0, 0, 0, Map.of());

    /** Copies the map. */
    public EngineSpec {
        modelLoadMillis = Map.copyOf(modelLoadMillis);
    }
}
