package org.fescuehollow.placement;

import org.fescuehollow.hashing.Rendezvous;

/**
 * Numbers that grow with each change of an engine's coordinator, without shared state.
 *
 * <p>The upper bits are one more than those of the highest number that the engine has seen; the
 * lower bits tell coordinators apart that take over at once, so that at most one of them wins.
 * Stateless and safe for use by any thread.
 */
public final class FencingNumber {
    private static final int NODE_BITS = 20;
    private static final long NODE_MASK = (1L << NODE_BITS) - 1;

    private FencingNumber() {}

    /**
     * Returns the number for a coordinator that takes over.
     *
     * @param highestSeen the highest number that the engine has reported
     * @param node the coordinator's id and incarnation
     * @return a number above the highest seen
     */
    public static long nextAfter(long highestSeen, String node) {
        long epoch = (highestSeen >>> NODE_BITS) + 1;
        return epoch << NODE_BITS | Rendezvous.hash(node) & NODE_MASK;
    }
}
