package org.fescuehollow.residency;

import org.fescuehollow.catalog.AdapterKey;

/**
 * An adapter that requests wait for.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param adapter the adapter
 * @param minVersion the least version that will do; 0 if any
 * @param priority the priority of the request, 0 being the highest
 * @param deadlineNanos when the request gives up, by this node's monotonic clock
 */
public record AdapterDemand(AdapterKey adapter, long minVersion, int priority, long deadlineNanos) {
    /**
     * Merges a repeated want into this one.
     *
     * @param fresh the later one, of the same adapter
     * @return the strictest version, the best rank and the longest wait of both
     */
    AdapterDemand mergedWith(AdapterDemand fresh) {
        return new AdapterDemand(
                adapter,
                Math.max(minVersion, fresh.minVersion),
                Math.min(priority, fresh.priority),
                Math.max(deadlineNanos, fresh.deadlineNanos));
    }
}
