package org.fescuehollow.catalog;

import java.util.Map;

/**
 * What the engines of a service have room for.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param slots requests that run at once
 * @param kvCacheTokens memory for running requests and kept prompts, in tokens
 * @param adapterSlots adapters that fit on an engine
 * @param modelLoadMillis the time that each base model takes to load from the weight store
 */
public record EngineSpec(
        int slots, long kvCacheTokens, int adapterSlots, Map<String, Long> modelLoadMillis) {
    /** Copies the map. */
    public EngineSpec {
        modelLoadMillis = Map.copyOf(modelLoadMillis);
    }
}
