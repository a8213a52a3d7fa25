package org.fescuehollow.placement;

/**
 * Leave to run one load from the weight store.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param number unique at its owner
 * @param owner the node whose share it counts against
 * @param expiresNanos when the load must have ended, by the holder's monotonic clock
 */
public record Permit(long number, String owner, long expiresNanos) {}
