package org.fescuehollow.standins;

/**
 * One request that an engine stand-in began to run.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param requestId the request's id
 * @param attemptId the attempt's identity
 * @param adapter the adapter it ran on
 */
public record Execution(String requestId, String attemptId, String adapter) {}
