package org.fescuehollow.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.fescuehollow.model.AdapterRef;

/**
 * Selects the adapter to evict for another one.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum EvictionPolicy {
    /** Evicts the least recently used adapter. */
    LEAST_RECENTLY_USED {
        @Override
        double score(AdapterUsage usage, long now) {
            return usage.lastUsedNanos();
        }
    },
    /** Evicts the least frequently used adapter; the weight of a use decays over time. */
    LEAST_FREQUENTLY_USED {
        @Override
        double score(AdapterUsage usage, long now) {
            return usage.decayedCount(now);
        }
    };

    /**
     * Returns the score of an adapter. The adapter with the lowest score is evicted first.
     *
     * @param usage the adapter's usage
     * @param now the monotonic time in nanoseconds
     * @return the score
     */
    abstract double score(AdapterUsage usage, long now);

    /**
     * Selects the adapter to evict. If scores are equal, the adapter that sorts first is selected.
     *
     * @param evictable the usage of adapters that no request uses or waits for
     * @param now the monotonic time in nanoseconds
     * @return the adapter, or empty if no adapter is evictable
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
