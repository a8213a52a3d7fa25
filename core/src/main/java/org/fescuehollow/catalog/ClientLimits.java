package org.fescuehollow.catalog;

/**
 * Bounds on what a caller may send.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param maxHeaderBytes the longest header section
 * @param maxBodyBytes the longest body
 * @param idleTimeoutMillis how long a connection may stay idle
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMillis) {}
