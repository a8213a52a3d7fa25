package org.fescuehollow.placement;

/**
 * A share of the weight store's rate and of its loads in transit.
 *
 * <p>Invariants: permits taken in any interval never exceed the rate times its length plus one;
 * permits not released never exceed the limit in transit. A share below one load in transit holds
 * one permit for part of the time only: its load starts are spaced so that the mean in transit
 * stays within the share. Not safe for concurrent use.
 */
public final class StoreBudget implements LoadBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private double mRate;
    private double mInTransitLimit;
    private double mTokens;
    private long mFilledNanos;
    private int mInTransit;

    /**
     * Creates an empty budget; the first permit is earned at the rate.
     *
     * @param now the monotonic time in nanoseconds
     */
    public StoreBudget(long now) {
        mFilledNanos = now;
    }

    /**
     * Sets the share held from now on.
     *
     * @param now the monotonic time in nanoseconds
     * @param loadsPerSecond loads that may begin in a second
     * @param inTransit loads that may be in progress at once, fractions included
     */
    public void setShare(long now, double loadsPerSecond, double inTransit) {
        refill(now);
        mRate = loadsPerSecond;
        mInTransitLimit = inTransit;
    }

    @Override
    public boolean tryTake(long now) {
        refill(now);
        if (mTokens < 1 || mInTransit + 1 > mInTransitLimit) {
            return false;
        }
        mTokens -= 1;
        mInTransit++;
        return true;
    }

    @Override
    public void release(long now) {
        if (mInTransit <= 0) {
            throw new IllegalStateException("expected a load in transit, got none");
        }
        mInTransit--;
    }

    private void refill(long now) {
        double seconds = Math.max(0, now - mFilledNanos) / NANOS_PER_SECOND;
        mFilledNanos = Math.max(now, mFilledNanos);
        mTokens = Math.min(1, mTokens + seconds * mRate);
    }

    /**
     * Returns how many loads are in transit.
     *
     * @return permits taken and not released
     */
    public int inTransit() {
        return mInTransit;
    }
}
