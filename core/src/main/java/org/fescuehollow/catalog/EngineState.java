package org.fescuehollow.catalog;

import java.util.Map;
import java.util.Set;

/**
 * An engine's report of its own state; some hundred milliseconds old when it arrives.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param startedMillis the Unix time of its start; 0 if unknown
 * @param orderCount the number of orders accepted in this incarnation
 * @param queued waiting requests
 * @param active running requests
 * @param usedKvCacheTokens KV cache that can't be evicted, in tokens
 * @param models the loaded base models
 * @param adapters the loaded adapters with their versions
 * @param loading the adapters being loaded, with their versions
 */
public record EngineState(
        long startedMillis,
        long orderCount,
        int queued,
        int active,
        long usedKvCacheTokens,
        Set<String> models,
        Map<AdapterKey, Long> adapters,
        Map<AdapterKey, Long> loading) {}
