package org.fescuehollow.gateway.orders;

import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.residency.FenceProposal;
import org.fescuehollow.residency.FencingNumberGenerator;
import org.fescuehollow.residency.LeaseCandidacy;
import org.fescuehollow.residency.LeaseVotes;

/**
 * Asks the witnesses for the lease on one engine, as {@link LeaseCandidacy} decides, and counts
 * their grants. Not thread-safe; used on the node's event loop.
 */
final class LeaseApplicant {
    private final NodeContext mContext;
    private final OrderService mService;
    private final String mEngine;
    private final LeaseVotes mVotes = new LeaseVotes();
    private final LeaseCandidacy mCandidacy = new LeaseCandidacy();
    private final FenceProposal mFence;

    LeaseApplicant(
            NodeContext context,
            OrderService service,
            String engine,
            FencingNumberGenerator fence) {
        mFence = new FenceProposal(fence);
        mContext = context;
        mService = service;
        mEngine = engine;
    }

    /** Decides whether to ask or to withdraw; requests are sent after the tick. */
    void tick(boolean mayClaim, int rank, long now) {
        if (mCandidacy.next(mayClaim, rank, now) == LeaseCandidacy.Step.WITHDRAW) {
            mVotes.clear(now);
            mService.leases().withdraw(mEngine, mService);
            mContext.metrics().countEvent("lease_withdrawn");
            mContext.log().event("lease_withdrawn", "engine", mEngine, "may_claim", mayClaim);
        }
    }

    boolean isAsking() {
        return mCandidacy.isAsking();
    }

    /** Returns the fencing number to ask with. */
    long fence() {
        return mFence.propose(System.currentTimeMillis());
    }

    /** Handles a grant while this node holds the lease. */
    void onExtended(String witness, long askedNanos) {
        mVotes.onGranted(witness, askedNanos);
    }

    /** Handles a grant while this node asks; returns false if the witness knows a higher fence. */
    boolean onGranted(String witness, long askedNanos, long fence) {
        boolean counts = mFence.accepts(fence);
        if (counts) {
            mVotes.onGranted(witness, askedNanos);
        }
        return counts;
    }

    /** Returns the newest time from which a majority of the witnesses has granted the lease. */
    long majorityNanos() {
        return mVotes.majorityNanos(mService.leases().witnesses());
    }

    void onClaimed() {
        mCandidacy.onClaimed();
    }

    void onLost(long now) {
        mFence.clear();
        mVotes.clear(now);
    }
}
