package org.fescuehollow.standins;

/**
 * A request that an engine stand-in started.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param requestId the request id
 * @param attemptId the id of the attempt
 * @param adapter the adapter with its version
 */
public record Execution(String requestId, String attemptId, String adapter) {}
