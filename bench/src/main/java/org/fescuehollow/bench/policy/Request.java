package org.fescuehollow.bench.policy;

import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;

/**
 * One request of a workload.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param number counts from zero
 * @param arrivalNanos virtual arrival time
 * @param adapter the adapter
 * @param team the team's number
 * @param priority the class
 * @param serviceNanos its time on an engine
 * @param domain the failure domain that it enters
 */
public record Request(
        int number,
        long arrivalNanos,
        AdapterRef adapter,
        int team,
        Priority priority,
        long serviceNanos,
        int domain) {}
