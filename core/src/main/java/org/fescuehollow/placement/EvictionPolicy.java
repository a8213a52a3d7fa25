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
public enum EvictionPolicy {
    /** The one used longest ago. */
    LEAST_RECENTLY_USED {
        @Override
        double score(AdapterUsage use, long now) {
            return use.lastUsedNanos();
        }
    },
    /** The one used least often, where uses count less as they age. */
    LEAST_FREQUENTLY_USED {
        @Override
        double score(AdapterUsage use, long now) {
            return use.decayedCount(now);
        }
    };

    /**
     * Rates an adapter; the lowest is evicted first.
     *
     * @param use the adapter's uses
     * @param now the monotonic time in nanoseconds
     * @return the score
     */
    abstract double score(AdapterUsage use, long now);

    /**
     * Picks the adapter to evict.
     *
     * @param evictable adapters that no request uses or waits for
     * @param now the monotonic time in nanoseconds
     * @return the adapter, or empty if there is none
     */
    public Optional<AdapterRef> pickVictim(Map<AdapterRef, AdapterUsage> evictable, long now) {
        return evictable.entrySet().stream()
                .min(
                        Comparator.<Map.Entry<AdapterRef, AdapterUsage>>comparingDouble(
                                        e -> score(e.getValue(), now))
                                .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }
}
