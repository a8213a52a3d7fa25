package org.fescuehollow.admission;

/**
 * A limit on the sum of the bytes that several readers keep at a time.
 *
 * <p>Invariant: the sum is never above the limit. Not thread-safe.
 */
public final class ByteBudget {
    private final long mLimit;
    private long mTaken;

    /**
     * Creates a budget of which nothing is taken.
     *
     * @param limit the limit in bytes
     */
    public ByteBudget(long limit) {
        mLimit = limit;
    }

    /**
     * Takes bytes from the budget.
     *
     * @param bytes the number of bytes
     * @return false if fewer are left; none are taken then
     */
    public boolean tryTake(long bytes) {
        if (bytes > mLimit - mTaken) {
            return false;
        }
        mTaken += bytes;
        return true;
    }

    /**
     * Returns bytes to the budget.
     *
     * @param bytes the number of bytes, which were taken before
     */
    public void release(long bytes) {
        mTaken -= bytes;
    }
}
