package org.fescuehollow.catalog;

import java.util.Map;
import java.util.Set;

/**
 * An engine's report about itself, some hundred milliseconds old.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param startedMillis the Unix time of its start; 0 if unknown
 * @param orderCount the orders accepted in this life
 * @param queued requests that wait
 * @param active requests that run
 * @param usedKvCacheTokens memory that can't be given up, in tokens
 * @param models the base models it holds
 * @param adapters the adapters it holds, with their versions
 * @param loading adapters that are being loaded, with their versions
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
