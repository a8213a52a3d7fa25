package org.fescuehollow.residency;

import org.fescuehollow.catalog.AdapterKey;

/**
 * An adapter that requests wait for on an engine.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param adapter the adapter
 * @param minVersion the lowest acceptable version; 0 for any
 * @param priority the priority of the request, 0 being the highest
 * @param deadlineNanos the request's deadline by this node's monotonic clock, in nanoseconds
 */
public record AdapterDemand(AdapterKey adapter, long minVersion, int priority, long deadlineNanos) {
    /**
     * Merges repeated demand for the same adapter into this one.
     *
     * @param newer the later demand
     * @return the highest minimum version, the best priority and the latest deadline of both
     */
    AdapterDemand mergedWith(AdapterDemand newer) {
        return new AdapterDemand(
                adapter,
                Math.max(minVersion, newer.minVersion),
                Math.min(priority, newer.priority),
                Math.max(deadlineNanos, newer.deadlineNanos));
    }
}
