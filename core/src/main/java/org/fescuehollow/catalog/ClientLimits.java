package org.fescuehollow.catalog;

/**
 * Bounds on what a caller may send.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param headerBytes the longest header section
 * @param bodyBytes the longest body
 * @param idleMillis how long a connection may stay idle
 */
public record ClientLimits(int headerBytes, int bodyBytes, long idleMillis) {}
