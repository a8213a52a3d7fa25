package org.fescuehollow.residency;

import java.time.Duration;

/**
 * Decides whether this node may give orders to one engine.
 *
 * <p>There is no consensus, and engines may not check fences. A node begins to order only after the
 * engine was quiet for longer than the lease, and goes on only while others can see that it does:
 * either all nodes that may claim the engine say that they hear it, or its own orders move the
 * engine's count, which a rival reads before it begins.
 *
 * <p>Invariant: no order is given later than a quarter of the lease after others could last see the
 * reign, so that a rival's wait leaves a whole lease between the two. Not safe for concurrent use.
 */
public final class EngineLease {
    /** Parts of the lease for which a reign that nobody sees any more goes on. */
    private static final int UNCONFIRMED_LEASE_DIVISOR = 4;

    /** Added to a rival's wait for delays on the way. */
    private static final long NETWORK_DELAY_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * The wait for an engine that was never ordered: reports are some hundred milliseconds old, and
     * asked for as often.
     */
    private static final long NEW_ENGINE_WAIT_NANOS = Duration.ofMillis(900).toNanos();

    /** Between the claims of two ranks: the first's order is visible in reports by then. */
    private static final long RANK_DELAY_NANOS = Duration.ofMillis(1_000).toNanos();

    /**
     * Counts that were read with a longer gap between them don't show that the engine was quiet.
     */
    private static final long MAX_OBSERVATION_GAP_NANOS = Duration.ofMillis(1_500).toNanos();

    /**
     * After a claim, the time within which others have to see it: a claim that shows nothing for
     * longer may meet another one. Two ticks of the node.
     */
    private static final long FIRST_ORDER_WINDOW_NANOS = Duration.ofMillis(200).toNanos();

    private final long mLeaseNanos;
    private final long mMaxUnconfirmedNanos;
    private boolean mHeld;
    private long mQuietSinceNanos;
    private long mConfirmedNanos;
    private long mOrderCount;
    private long mObservedNanos;
    private long mRivalReleasedNanos = Long.MIN_VALUE / 2;
    private boolean mFirstObservation = true;
    private boolean mNeverOrdered;
    private boolean mDisputed;
    private long mVisibleNanos;
    private long mClaimedNanos;

    /**
     * Creates the reign of a node that knows nothing of the engine's orders yet.
     *
     * @param leaseMillis the time within which two nodes must not take turns
     * @param now the monotonic time in nanoseconds
     */
    public EngineLease(long leaseMillis, long now) {
        mLeaseNanos = Duration.ofMillis(leaseMillis).toNanos();
        mMaxUnconfirmedNanos = mLeaseNanos / UNCONFIRMED_LEASE_DIVISOR;
        mQuietSinceNanos = now;
        mOrderCount = -1;
    }

    /**
     * Takes the engine's count of orders from a report.
     *
     * @param count the count
     * @param now the monotonic time in nanoseconds
     */
    public void onOrderCount(long count, long now) {
        if (mHeld) {
            return;
        }
        mOrderCount = now - mObservedNanos > MAX_OBSERVATION_GAP_NANOS ? -1 : mOrderCount;
        mNeverOrdered &= mOrderCount >= 0;
        mObservedNanos = now;
        if (count == mOrderCount) {
            return;
        }
        mNeverOrdered = mFirstObservation && count == 0;
        mFirstObservation = false;
        boolean released =
                mOrderCount < 0 && now - mRivalReleasedNanos <= MAX_OBSERVATION_GAP_NANOS;
        mQuietSinceNanos = released ? mRivalReleasedNanos - mMaxUnconfirmedNanos : now;
        mOrderCount = count;
    }

    /**
     * Takes that another node says it holds the engine.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onRivalHeard(long now) {
        mQuietSinceNanos = Math.max(mQuietSinceNanos, now);
        mRivalReleasedNanos = Long.MIN_VALUE / 2;
    }

    /**
     * Takes that the holder said that it gives no more orders.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onRivalReleased(long now) {
        mRivalReleasedNanos = now;
        mQuietSinceNanos = Math.min(mQuietSinceNanos, now - mMaxUnconfirmedNanos);
    }

    /**
     * Tells whether this node may begin to order.
     *
     * @param rank how many nodes rank better for the engine, dead or not; the best takes an engine
     *     that was never ordered at once
     * @param now the monotonic time in nanoseconds
     * @return true once the engine was quiet long enough
     */
    public boolean mayClaim(int rank, long now) {
        boolean first = mNeverOrdered && rank == 0;
        long wait =
                first
                        ? NEW_ENGINE_WAIT_NANOS
                        : mLeaseNanos
                                + mMaxUnconfirmedNanos
                                + NETWORK_DELAY_NANOS
                                + rank * RANK_DELAY_NANOS;
        boolean current = mOrderCount >= 0 && now - mObservedNanos <= MAX_OBSERVATION_GAP_NANOS;
        return !mHeld && current && now - mQuietSinceNanos >= wait;
    }

    /**
     * Begins to hold the engine.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void claim(long now) {
        mHeld = true;
        mDisputed = false;
        mClaimedNanos = now;
        mConfirmedNanos = now - mMaxUnconfirmedNanos + FIRST_ORDER_WINDOW_NANOS;
        mVisibleNanos = now - mLeaseNanos;
    }

    /**
     * Tells whether an order may be given now, and gives up a reign that has lapsed.
     *
     * @param seen when the last of the nodes that may claim the engine heard this one, by the
     *     monotonic clock
     * @param now the monotonic time in nanoseconds
     * @return true if an order may be sent at once
     */
    public boolean mayOrder(long seen, long now) {
        if (seen > mClaimedNanos) {
            // What was heard before said nothing of this reign.
            mConfirmedNanos = Math.max(mConfirmedNanos, seen);
            mVisibleNanos = Math.max(mVisibleNanos, seen);
        }
        if (mHeld && now - mConfirmedNanos > mLeaseNanos) {
            abandon(now);
        }
        // Another node may begin to order while this one is unseen; the count tells.
        mDisputed |= mHeld && now - mConfirmedNanos > mMaxUnconfirmedNanos;
        return mHeld && !mDisputed;
    }

    /**
     * Tells whether an order that moves no count may be given, such as a question. A reign that
     * nobody has seen yet shows itself by an order that does.
     *
     * @param now the monotonic time in nanoseconds
     * @return false right after a claim, until the reign was seen
     */
    public boolean mayQueryStatus(long now) {
        return mHeld && now - mVisibleNanos <= mMaxUnconfirmedNanos;
    }

    /**
     * Tells whether the engine's count has to move soon for the reign to last.
     *
     * @param now the monotonic time in nanoseconds
     * @return true once more than half of the time is over
     */
    public boolean needsCountedOrder(long now) {
        return mHeld && now - mConfirmedNanos > mMaxUnconfirmedNanos * 6 / 10;
    }

    /** Takes that an order got no answer, so that the engine's count is in doubt. */
    public void onOrderUnanswered() {
        mOrderCount = -1;
    }

    /**
     * Takes that the engine refused an order: either an order before is still being carried out, or
     * its count is another than expected. No order is given until its count is known.
     */
    public void onConflict() {
        mDisputed = true;
    }

    /**
     * Tells whether the engine's count has to be learnt from its reports.
     *
     * @return true after an order without an answer or a refused one
     */
    public boolean needsOrderCount() {
        return mOrderCount < 0 || mDisputed;
    }

    /**
     * Takes the engine's count after a doubt. Another count than expected shows orders of another
     * node and ends the reign.
     *
     * @param count the count from a report that is younger than the last order
     * @param now the monotonic time in nanoseconds
     */
    public void onOrderCountVerified(long count, long now) {
        if (mHeld && mOrderCount >= 0 && count != mOrderCount) {
            abandon(now);
            return;
        }
        mOrderCount = mOrderCount < 0 ? count : mOrderCount;
        mDisputed = false;
    }

    /**
     * Takes that the engine accepted an order that moved its count.
     *
     * @param sentNanos when the order was sent, by the monotonic clock
     */
    public void onOrderAccepted(long sentNanos) {
        mOrderCount += mOrderCount < 0 ? 0 : 1;
        mConfirmedNanos = Math.max(mConfirmedNanos, sentNanos);
        mVisibleNanos = Math.max(mVisibleNanos, sentNanos);
    }

    /**
     * Gives up the reign, after a pause or an unexpected answer.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void abandon(long now) {
        mHeld = false;
        mNeverOrdered = false;
        mDisputed = false;
        mQuietSinceNanos = now;
        mOrderCount = -1;
    }

    /**
     * Takes that the engine began a new life, in which its count starts anew.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onEngineRestarted(long now) {
        mOrderCount = mHeld ? 0 : -1;
        mDisputed = false;
        mQuietSinceNanos = now;
    }

    /**
     * Tells whether this node holds the engine.
     *
     * @return true from a claim to the loss
     */
    public boolean isHeld() {
        return mHeld;
    }

    /**
     * Returns the engine's count of orders as this node knows it.
     *
     * @return the count to expect; negative if unknown
     */
    public long orderCount() {
        return mOrderCount;
    }
}
