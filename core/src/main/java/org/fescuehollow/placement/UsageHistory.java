package org.fescuehollow.placement;

import java.util.HashMap;
import java.util.Map;
import org.fescuehollow.model.AdapterRef;

/**
 * The uses of adapters on one engine, of evicted ones too, bounded in number.
 *
 * <p>Invariant: holds at most {@link #MAX_ADAPTERS} adapters; the least used is forgotten first.
 * Not safe for concurrent use.
 */
final class UsageHistory {
    static final int MAX_ADAPTERS = 1024;
    private static final AdapterUsage UNUSED = new AdapterUsage(0, 0);

    private final Map<AdapterRef, AdapterUsage> mUsages = new HashMap<>();

    /** Counts a use; the count continues from what is known elsewhere, if that is more. */
    void recordUse(AdapterRef adapter, double elsewhere, double worth, long now) {
        AdapterUsage own = usageOf(adapter);
        AdapterUsage known =
                own.decayedCount(now) < elsewhere ? new AdapterUsage(elsewhere, now) : own;
        mUsages.put(adapter, known.withUse(worth, now));
        if (mUsages.size() > MAX_ADAPTERS) {
            EvictionPolicy.LEAST_FREQUENTLY_USED
                    .pickVictim(mUsages, now)
                    .ifPresent(mUsages::remove);
        }
    }

    AdapterUsage usageOf(AdapterRef adapter) {
        return mUsages.getOrDefault(adapter, UNUSED);
    }
}
