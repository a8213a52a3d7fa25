package org.fescuehollow.placement;

import org.fescuehollow.model.Priority;

/**
 * A load that waits for a permit.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param key identifies the engine and the adapter
 * @param priority the highest priority class among the waiting requests
 * @param team the team of the first of them
 * @param weight the team's weight
 * @param waitedMillis the total time that all requests for the adapter have waited, in milliseconds
 */
public record PermitRequest(
        String key, Priority priority, String team, int weight, double waitedMillis) {}
