package org.fescuehollow.placement;

import org.fescuehollow.model.Priority;

/**
 * A load that waits for a permit.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param key names engine and adapter
 * @param priority the highest class among the requests that wait
 * @param team the team of the first of them
 * @param weight that team's weight
 * @param waitedMillis the sum of the time that all of them have waited, in milliseconds
 */
public record PermitRequest(
        String key, Priority priority, String team, int weight, double waitedMillis) {}
