package org.fescuehollow.residency;

import java.time.Duration;

/**
 * This node's lease on one engine: decides whether the node may give the engine orders.
 *
 * <p>Engines may not check fencing numbers. A node claims an engine only after it saw no new orders
 * for longer than the lease, and only if a majority of the witnesses grants it the lease ({@link
 * LeaseWitness}). It continues only while others can observe the lease: either a majority of the
 * witnesses goes on granting it, or its own orders move the engine's order count, which a rival
 * reads before it claims.
 *
 * <p>Invariant: no order is given later than a quarter of the lease duration after the lease was
 * last confirmed, that is, observable by others. So the wait of a rival leaves at least a whole
 * lease duration between orders of the two. Not safe for concurrent use.
 */
public final class EngineLease {
    /** The holder may order for this fraction (1/n) of the lease duration without confirmation. */
    private static final int UNCONFIRMED_LEASE_DIVISOR = 4;

    /** Added to a rival's wait to cover network delays. */
    private static final long NETWORK_DELAY_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * Wait before claiming an engine that never received an order: reports are some hundred
     * milliseconds old and are fetched at similar intervals.
     */
    private static final long NEW_ENGINE_WAIT_NANOS = Duration.ofMillis(900).toNanos();

    /** Delay between the claims of two ranks: reports show the first one's order by then. */
    private static final long RANK_DELAY_NANOS = Duration.ofMillis(1_000).toNanos();

    /** Order counts read with a longer gap between them don't show that there were no orders. */
    private static final long MAX_OBSERVATION_GAP_NANOS = Duration.ofMillis(1_500).toNanos();

    /**
     * Time after a claim within which an order or a message has to make the lease observable. After
     * that, another node may claim the engine as well. Two ticks of the node.
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
     * Creates a lease that is not held; the engine's order count is unknown.
     *
     * @param leaseMillis the lease duration: the minimum time between orders of two nodes
     * @param now the monotonic time in nanoseconds
     */
    public EngineLease(long leaseMillis, long now) {
        mLeaseNanos = Duration.ofMillis(leaseMillis).toNanos();
        mMaxUnconfirmedNanos = maxUnconfirmedNanos(leaseMillis);
        mQuietSinceNanos = now;
        mOrderCount = -1;
    }

    /**
     * Returns how long after the last grant of a lease no other node may get it: an order may
     * follow the grant by {@link #maxUnconfirmedNanos}, and the next one by the lease duration.
     *
     * @param leaseMillis the lease duration
     * @return the time in nanoseconds
     */
    public static long exclusiveNanos(long leaseMillis) {
        return Duration.ofMillis(leaseMillis).toNanos()
                + maxUnconfirmedNanos(leaseMillis)
                + NETWORK_DELAY_NANOS;
    }

    /**
     * Returns how long an order may follow the last confirmation of the lease.
     *
     * @param leaseMillis the lease duration
     * @return the time in nanoseconds
     */
    public static long maxUnconfirmedNanos(long leaseMillis) {
        return Duration.ofMillis(leaseMillis).toNanos() / UNCONFIRMED_LEASE_DIVISOR;
    }

    /**
     * Returns how old the grants of a majority may be when a node claims an engine, so that its
     * first order still follows them within {@link #maxUnconfirmedNanos}.
     *
     * @return the time in nanoseconds
     */
    public long maxVoteAgeNanos() {
        return mMaxUnconfirmedNanos - FIRST_ORDER_WINDOW_NANOS;
    }

    /**
     * Handles the order count of an engine report; ignored while this node holds the lease.
     *
     * @param count the order count
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
        boolean recentlyReleased =
                mOrderCount < 0 && now - mRivalReleasedNanos <= MAX_OBSERVATION_GAP_NANOS;
        mQuietSinceNanos = recentlyReleased ? mRivalReleasedNanos - mMaxUnconfirmedNanos : now;
        mOrderCount = count;
    }

    /**
     * Handles that the engine may have received orders before this node saw it: its count may be
     * low only because it restarted. It can't be claimed early.
     */
    public void onMayBeKnown() {
        mFirstObservation = false;
        mNeverOrdered = false;
    }

    /**
     * Handles a message of another node that holds the engine.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onRivalHeard(long now) {
        mQuietSinceNanos = Math.max(mQuietSinceNanos, now);
        mRivalReleasedNanos = Long.MIN_VALUE / 2;
    }

    /**
     * Handles a message of the holder that it has released the engine.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onRivalReleased(long now) {
        mRivalReleasedNanos = now;
        mQuietSinceNanos = Math.min(mQuietSinceNanos, now - mMaxUnconfirmedNanos);
    }

    /**
     * Returns whether this node may claim the engine.
     *
     * @param rank the number of nodes, live or not, that rank better for the engine; rank 0 may
     *     claim an engine that never received an order early
     * @param now the monotonic time in nanoseconds
     * @return true if the engine received no orders of other nodes for long enough
     */
    public boolean mayClaim(int rank, long now) {
        boolean isNewEngine = mNeverOrdered && rank == 0;
        long wait =
                isNewEngine
                        ? NEW_ENGINE_WAIT_NANOS
                        : mLeaseNanos
                                + mMaxUnconfirmedNanos
                                + NETWORK_DELAY_NANOS
                                + rank * RANK_DELAY_NANOS;
        boolean current = mOrderCount >= 0 && now - mObservedNanos <= MAX_OBSERVATION_GAP_NANOS;
        return !mHeld && current && now - mQuietSinceNanos >= wait;
    }

    /**
     * Claims the engine: this node now holds the lease. A majority of the witnesses must have
     * granted it within {@link #maxVoteAgeNanos}.
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
     * Returns whether an order may be given now. Abandons the lease if it has expired.
     *
     * @param grantedNanos the monotonic time at which this node asked for the newest grant of a
     *     majority of the witnesses
     * @param now the monotonic time in nanoseconds
     * @return true if an order may be sent at once
     */
    public boolean mayOrder(long grantedNanos, long now) {
        if (grantedNanos > mClaimedNanos) {
            // A grant from before the claim has been counted by the claim.
            mConfirmedNanos = Math.max(mConfirmedNanos, grantedNanos);
            mVisibleNanos = Math.max(mVisibleNanos, grantedNanos);
        }
        if (mHeld && now - mConfirmedNanos > mLeaseNanos) {
            abandon(now);
        }
        // A rival may order while the lease is unconfirmed; the order count will show.
        mDisputed |= mHeld && now - mConfirmedNanos > mMaxUnconfirmedNanos;
        return mHeld && !mDisputed;
    }

    /**
     * Returns whether an order that doesn't move the order count may be given, such as a status
     * query. A lease that is not confirmed yet needs a counted order first.
     *
     * @param now the monotonic time in nanoseconds
     * @return false if the lease was never confirmed since the claim, or too long ago
     */
    public boolean mayQueryStatus(long now) {
        return mHeld && now - mVisibleNanos <= mMaxUnconfirmedNanos;
    }

    /**
     * Returns whether the lease soon needs a counted order to stay confirmed.
     *
     * @param now the monotonic time in nanoseconds
     * @return true once 60% of the time without confirmation has passed
     */
    public boolean needsCountedOrder(long now) {
        return mHeld && now - mConfirmedNanos > mMaxUnconfirmedNanos * 6 / 10;
    }

    /** Handles an order without a reply: the engine's order count is unknown. */
    public void onOrderUnanswered() {
        mOrderCount = -1;
    }

    /**
     * Handles a conflict: a previous order is still being carried out, or the engine's order count
     * isn't the expected one. No order is given until the order count is verified.
     */
    public void onConflict() {
        mDisputed = true;
    }

    /**
     * Returns whether the engine's order count has to be read from its reports.
     *
     * @return true if the order count is unknown or has to be verified
     */
    public boolean needsOrderCount() {
        return mOrderCount < 0 || mDisputed;
    }

    /**
     * Handles an order count that was read to verify the expected one. A different count shows
     * orders of another node and ends the lease.
     *
     * @param count the order count of a report that was made after the last order
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
     * Handles an accepted order that moved the order count; this confirms the lease.
     *
     * @param sentNanos the monotonic time at which the order was sent
     */
    public void onOrderAccepted(long sentNanos) {
        mOrderCount += mOrderCount < 0 ? 0 : 1;
        mConfirmedNanos = Math.max(mConfirmedNanos, sentNanos);
        mVisibleNanos = Math.max(mVisibleNanos, sentNanos);
    }

    /**
     * Abandons the lease, for example after a pause of this process or an unexpected reply.
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
     * Handles a restart of the engine, which resets its order count.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void onEngineRestarted(long now) {
        mOrderCount = mHeld ? 0 : -1;
        mDisputed = false;
        mQuietSinceNanos = now;
    }

    /**
     * Returns whether this node holds the lease.
     *
     * @return true from the claim until the lease is abandoned
     */
    public boolean isHeld() {
        return mHeld;
    }

    /**
     * Returns the engine's order count as far as this node knows it.
     *
     * @return the expected order count; negative if unknown
     */
    public long orderCount() {
        return mOrderCount;
    }
}
