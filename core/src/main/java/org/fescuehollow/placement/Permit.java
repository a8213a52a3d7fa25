package org.fescuehollow.placement;

/**
 * A permit for one load from the weight store.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param number unique among the permits of its owner
 * @param owner id of the node whose share it counts against
 * @param expiresNanos the time by which the load must have ended, by the holder's monotonic clock
 */
public record Permit(long number, String owner, long expiresNanos) {}
