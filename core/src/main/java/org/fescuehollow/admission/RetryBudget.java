package org.fescuehollow.admission;

/**
 * Keeps retries a bounded share of requests, so that they can't multiply a failure.
 *
 * <p>Invariant: retries allowed never exceed the burst plus the share of requests counted. Not safe
 * for concurrent use.
 */
public final class RetryBudget {
    private final double mRetryRatio;
    private final double mBurst;
    private double mTokens;

    /**
     * Creates a full budget.
     *
     * @param share retries earned by each request, such as 0.1
     * @param burst the most retries that can be saved up
     */
    public RetryBudget(double share, double burst) {
        mRetryRatio = share;
        mBurst = burst;
        mTokens = burst;
    }

    /** Counts a first attempt. */
    public void recordRequest() {
        mTokens = Math.min(mBurst, mTokens + mRetryRatio);
    }

    /**
     * Takes one retry if the budget allows it.
     *
     * @return true if the retry may go ahead
     */
    public boolean tryAcquireRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
