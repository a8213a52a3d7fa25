package org.fescuehollow.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.fescuehollow.model.AdapterRef;

/**
 * Which adapter to give up for another.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Eviction {
    /** The one used longest ago. */
    LEAST_RECENT {
        @Override
        double score(AdapterUse use, long now) {
            return use.lastUsedNanos();
        }
    },
    /** The one used least often, where uses count less as they age. */
    LEAST_FREQUENT_AGED {
        @Override
        double score(AdapterUse use, long now) {
            return use.agedCount(now);
        }
    };

    /**
     * Rates an adapter; the lowest is evicted first.
     *
     * @param use the adapter's uses
     * @param now the monotonic time in nanoseconds
     * @return the score
     */
    abstract double score(AdapterUse use, long now);

    /**
     * Picks the adapter to evict.
     *
     * @param evictable adapters that no request uses or waits for
     * @param now the monotonic time in nanoseconds
     * @return the adapter, or empty if there is none
     */
    public Optional<AdapterRef> pick(Map<AdapterRef, AdapterUse> evictable, long now) {
        return evictable.entrySet().stream()
                .min(
                        Comparator.<Map.Entry<AdapterRef, AdapterUse>>comparingDouble(
                                        e -> score(e.getValue(), now))
                                .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }
}
