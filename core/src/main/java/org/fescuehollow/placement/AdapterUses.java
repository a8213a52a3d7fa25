package org.fescuehollow.placement;

import java.util.HashMap;
import java.util.Map;
import org.fescuehollow.model.AdapterRef;

/**
 * The uses of adapters on one engine, of evicted ones too, bounded in number.
 *
 * <p>Invariant: holds at most {@link #LIMIT} adapters; the least used is forgotten first. Not safe
 * for concurrent use.
 */
final class AdapterUses {
    static final int LIMIT = 1024;
    private static final AdapterUse NEVER = new AdapterUse(0, 0);

    private final Map<AdapterRef, AdapterUse> mUses = new HashMap<>();

    /** Counts a use; the count continues from what is known elsewhere, if that is more. */
    void used(AdapterRef adapter, double elsewhere, double worth, long now) {
        AdapterUse own = of(adapter);
        AdapterUse known = own.agedCount(now) < elsewhere ? new AdapterUse(elsewhere, now) : own;
        mUses.put(adapter, known.used(worth, now));
        if (mUses.size() > LIMIT) {
            Eviction.LEAST_FREQUENT_AGED.pick(mUses, now).ifPresent(mUses::remove);
        }
    }

    AdapterUse of(AdapterRef adapter) {
        return mUses.getOrDefault(adapter, NEVER);
    }
}
