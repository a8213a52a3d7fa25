package org.fescuehollow.catalog;

/**
 * Limits on client connections and requests.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param maxHeaderBytes the maximum size of the header section
 * @param maxBodyBytes the maximum size of the body
 * @param idleTimeoutMillis the time after which an idle connection is closed
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMillis) {}
