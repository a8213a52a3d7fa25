package org.fescuehollow.bench.policy;

import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;

/**
 * One request of a workload.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param number sequence number, from 0
 * @param arrivalNanos virtual arrival time in nanoseconds
 * @param adapter the adapter
 * @param team the team number
 * @param priority the priority class
 * @param serviceNanos its run time on an engine in nanoseconds
 * @param domain the failure domain whose entry node receives it
 */
public record Request(
        int number,
        long arrivalNanos,
        AdapterRef adapter,
        int team,
        Priority priority,
        long serviceNanos,
        int domain) {}
