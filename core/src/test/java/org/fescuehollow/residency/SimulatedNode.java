package org.fescuehollow.residency;

import org.fescuehollow.exchange.Peer;
import org.fescuehollow.exchange.PeerTable;

/**
 * One node of {@link EngineLeasePartitionTest}; a restart clears its state. Not safe for concurrent
 * use.
 */
final class SimulatedNode {
    final Peer mSelf;
    PeerTable mPeers;
    EngineLease mLease;
    LeaseWitness mWitness;
    LeaseVotes mVotes;
    LeaseCandidacy mCandidacy;
    long mStarted;
    long mDownUntil;
    long mSequence;
    long mRivalHeard = Long.MIN_VALUE / 2;
    int mReports;
    int mGroup;

    SimulatedNode(int i) {
        mSelf = new Peer("n" + i, "d" + i % 2, "10.0.0." + i);
        start(0);
    }

    void start(long t) {
        mPeers = new PeerTable(mSelf, EngineLeasePartitionTest.nanos(t));
        mLease =
                new EngineLease(
                        EngineLeasePartitionTest.LEASE_MILLIS, EngineLeasePartitionTest.nanos(t));
        mLease.onMayBeKnown();
        mWitness =
                new LeaseWitness(
                        EngineLeasePartitionTest.LEASE_MILLIS, EngineLeasePartitionTest.nanos(t));
        mVotes = new LeaseVotes();
        mCandidacy = new LeaseCandidacy();
        mStarted = t;
        mRivalHeard = Long.MIN_VALUE / 2;
    }

    String incarnation() {
        return mSelf.name() + '@' + mStarted;
    }

    void abandon(long t) {
        mLease.abandon(EngineLeasePartitionTest.nanos(t));
        mVotes.clear(EngineLeasePartitionTest.nanos(t));
    }

    boolean isUp(long t) {
        return t >= mDownUntil;
    }
}
