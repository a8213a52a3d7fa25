package org.fescuehollow.residency;

/**
 * The fencing number with which a node asks the witnesses for the lease on an engine.
 *
 * <p>Failure pattern: the wall clocks of two nodes differ by more than a lease, so that numbers
 * made from the time fall. Any two majorities of the witnesses share one, which tells the next
 * holder the number of the one before.
 *
 * <p>Invariant: a grant counts only if the witness knows no higher number than the one that the
 * node will use. Not safe for concurrent use.
 */
public final class FenceProposal {
    private final FencingNumberGenerator mGenerator;
    private long mProposed;

    /**
     * Creates a proposal that has no number yet.
     *
     * @param generator generates the numbers of this node
     */
    public FenceProposal(FencingNumberGenerator generator) {
        mGenerator = generator;
    }

    /**
     * Returns the number to ask with: the last one, or a new one if a higher one became known.
     *
     * @param wallMillis the wall-clock time in milliseconds
     * @return the number
     */
    public long propose(long wallMillis) {
        if (mProposed == 0 || mProposed < mGenerator.highest()) {
            mProposed = mGenerator.next(wallMillis);
        }
        return mProposed;
    }

    /**
     * Handles the number that a witness returned with a grant.
     *
     * @param fence the highest number that the witness knows
     * @return false if the grant doesn't count, as a higher number has to be proposed
     */
    public boolean accepts(long fence) {
        mGenerator.observe(fence);
        return mProposed > 0 && mGenerator.highest() <= mProposed;
    }

    /** Forgets the number, which a lease that ended has used. */
    public void clear() {
        mProposed = 0;
    }
}
