package org.fescuehollow.residency;

/**
 * The fencing numbers of one engine's reigns, as far as this node knows them.
 *
 * <p>Invariant: a number is higher than all that this node has drawn or heard, and two nodes never
 * draw the same. Not safe for concurrent use.
 */
public final class FencingNumberGenerator {
    /** Parts of a millisecond that differ between nodes; a number still fits a JSON number. */
    private static final long NODE_ID_RANGE = 1_024;

    private final long mNodeId;
    private long mHighest;

    /**
     * Creates the numbers of a node.
     *
     * @param node its name
     */
    public FencingNumberGenerator(String node) {
        mNodeId = Math.floorMod(node.hashCode(), NODE_ID_RANGE);
    }

    /**
     * Draws the number of a new reign.
     *
     * @param wallMillis the time of day, which orders reigns of processes that remember nothing
     * @return the number
     */
    public long next(long wallMillis) {
        long next = Math.max(mHighest + NODE_ID_RANGE, wallMillis * NODE_ID_RANGE + mNodeId);
        mHighest = next - Math.floorMod(next, NODE_ID_RANGE) + mNodeId;
        return mHighest;
    }

    /**
     * Takes another node's number.
     *
     * @param number the number
     */
    public void observe(long number) {
        mHighest = Math.max(mHighest, number);
    }

    /**
     * Returns the highest number drawn or heard.
     *
     * @return 0 if there is none
     */
    public long highest() {
        return mHighest;
    }
}
