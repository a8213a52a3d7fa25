package org.fescuehollow.residency;

/**
 * Generates the fencing numbers of one engine's leases.
 *
 * <p>Invariant: each number is higher than all numbers that this node generated or observed. Nodes
 * whose names hash to different ids never generate the same number. Not safe for concurrent use.
 */
public final class FencingNumberGenerator {
    /**
     * Exclusive upper bound of node ids. A number is the time in milliseconds multiplied by this
     * bound, plus the node id; it still fits a JSON number.
     */
    private static final long NODE_ID_RANGE = 1_024;

    private final long mNodeId;
    private long mHighest;

    /**
     * Creates the generator of a node.
     *
     * @param node the name of the node
     */
    public FencingNumberGenerator(String node) {
        mNodeId = Math.floorMod(node.hashCode(), NODE_ID_RANGE);
    }

    /**
     * Generates the number of a new lease.
     *
     * @param wallMillis the wall-clock time in milliseconds; it orders the leases of processes that
     *     restarted without state
     * @return the number
     */
    public long next(long wallMillis) {
        long next = Math.max(mHighest + NODE_ID_RANGE, wallMillis * NODE_ID_RANGE + mNodeId);
        mHighest = next - Math.floorMod(next, NODE_ID_RANGE) + mNodeId;
        return mHighest;
    }

    /**
     * Records the fencing number of another node.
     *
     * @param number the number
     */
    public void observe(long number) {
        mHighest = Math.max(mHighest, number);
    }

    /**
     * Returns the highest number that was generated or observed.
     *
     * @return 0 if there is none
     */
    public long highest() {
        return mHighest;
    }
}
