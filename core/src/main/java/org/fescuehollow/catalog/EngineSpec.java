package org.fescuehollow.catalog;

import java.util.Map;

/**
 * What the engines of a service have room for.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param slots requests that run at once
 * @param cacheTokens memory for running requests and kept prompts, in tokens
 * @param adapterSlots adapters that fit on an engine
 * @param loadMillis the time that each base model takes to load from the weight store
 */
public record EngineSpec(
        int slots, long cacheTokens, int adapterSlots, Map<String, Long> loadMillis) {
    /** Copies the map. */
    public EngineSpec {
        loadMillis = Map.copyOf(loadMillis);
    }
}
