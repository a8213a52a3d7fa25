package org.fescuehollow.placement;

import org.fescuehollow.hashing.Rendezvous;

/**
 * Fencing numbers that increase with each change of an engine's coordinator, without shared state.
 *
 * <p>The upper bits are an epoch, one above that of the highest number that the engine has seen.
 * The lower bits are a hash of the node, so that coordinators that take over at the same time get
 * different numbers and at most one of them wins. Stateless and safe for use by any thread.
 */
public final class FencingNumber {
    private static final int NODE_BITS = 20;
    private static final long NODE_MASK = (1L << NODE_BITS) - 1;

    private FencingNumber() {}

    /**
     * Returns the fencing number of a coordinator that takes over an engine.
     *
     * @param highestSeen the highest number that the engine has reported
     * @param node the coordinator's id and incarnation
     * @return a number above {@code highestSeen}
     */
    public static long nextAfter(long highestSeen, String node) {
        long epoch = (highestSeen >>> NODE_BITS) + 1;
        return epoch << NODE_BITS | Rendezvous.hash(node) & NODE_MASK;
    }
}
