package org.fescuehollow.residency;

import java.time.Duration;

/**
 * Decides when a node that may claim an engine asks the witnesses for the lease, and when it
 * withdraws.
 *
 * <p>Failure pattern: several nodes ask at the same moment and none gets a majority. Each
 * withdraws, and asks again the later the worse its rank is.
 *
 * <p>Invariant: after a withdrawal the node asks for nothing until the pause is over. Not safe for
 * concurrent use.
 */
public final class LeaseCandidacy {
    /** Several times the round trip between nodes. */
    private static final long ANSWER_TIME_NANOS = Duration.ofMillis(400).toNanos();

    /** The pause after a failed candidacy, for each rank; longer than a round of requests. */
    private static final long RETRY_PAUSE_NANOS = Duration.ofMillis(300).toNanos();

    private boolean mAsking;
    private long mSinceNanos;
    private long mPausedUntilNanos = Long.MIN_VALUE;

    /** What to do for one engine. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Ask the witnesses, or go on asking. */
        ASK,
        /** Tell the witnesses that the lease isn't used, and forget their grants. */
        WITHDRAW
    }

    /**
     * Decides the next step; called periodically while the node doesn't hold the lease.
     *
     * @param mayClaim whether the node may claim the engine if the witnesses grant it
     * @param rank its rank
     * @param now the monotonic time in nanoseconds
     * @return the step
     */
    public Step next(boolean mayClaim, int rank, long now) {
        boolean failed = mAsking && (!mayClaim || now - mSinceNanos > ANSWER_TIME_NANOS);
        if (failed) {
            mAsking = false;
            mPausedUntilNanos = now + (rank + 1) * RETRY_PAUSE_NANOS;
            return Step.WITHDRAW;
        }
        if (!mayClaim || now < mPausedUntilNanos) {
            return Step.NONE;
        }
        mSinceNanos = mAsking ? mSinceNanos : now;
        mAsking = true;
        return Step.ASK;
    }

    /**
     * Returns whether the node asks the witnesses.
     *
     * @return true until it claimed the engine or withdrew
     */
    public boolean isAsking() {
        return mAsking;
    }

    /** Handles the claim of the engine. */
    public void onClaimed() {
        mAsking = false;
    }
}
