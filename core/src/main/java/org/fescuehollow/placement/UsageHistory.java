package org.fescuehollow.placement;

import java.util.HashMap;
import java.util.Map;
import org.fescuehollow.model.AdapterRef;

/**
 * The usage of an engine's adapters, including adapters that were evicted.
 *
 * <p>Invariant: holds at most {@link #MAX_ADAPTERS} adapters; the least used one is removed first.
 * Not safe for concurrent use.
 */
final class UsageHistory {
    static final int MAX_ADAPTERS = 1024;
    private static final AdapterUsage UNUSED = new AdapterUsage(0, 0);

    private final Map<AdapterRef, AdapterUsage> mUsages = new HashMap<>();

    /** Records a use. If other servers report a higher count, counting continues from theirs. */
    void recordUse(AdapterRef adapter, double usesElsewhere, double weight, long now) {
        AdapterUsage own = usageOf(adapter);
        AdapterUsage base =
                own.decayedCount(now) < usesElsewhere ? new AdapterUsage(usesElsewhere, now) : own;
        mUsages.put(adapter, base.withUse(weight, now));
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
