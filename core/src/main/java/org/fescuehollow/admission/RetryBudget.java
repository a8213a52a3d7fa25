package org.fescuehollow.admission;

/**
 * Limits retries to a ratio of requests, so that retries can't amplify an overload or a failure.
 *
 * <p>Invariant: the number of allowed retries never exceeds the burst plus the ratio times the
 * recorded requests. Not safe for concurrent use.
 */
public final class RetryBudget {
    private final double mRetryRatio;
    private final double mBurst;
    private double mTokens;

    /**
     * Creates a full budget.
     *
     * @param retryRatio retries earned by each request, such as 0.1
     * @param burst the maximum number of retries that can be saved up
     */
    public RetryBudget(double retryRatio, double burst) {
        mRetryRatio = retryRatio;
        mBurst = burst;
        mTokens = burst;
    }

    /** Records the first attempt of a request. */
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
