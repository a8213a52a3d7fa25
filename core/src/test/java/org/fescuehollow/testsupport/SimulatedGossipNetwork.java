package org.fescuehollow.testsupport;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.fescuehollow.membership.Membership;
import org.fescuehollow.membership.MembershipTiming;
import org.fescuehollow.membership.OutgoingMessage;

/** Many memberships on a network in virtual time that can lose, cut and pause. */
public final class SimulatedGossipNetwork {
    private static final long TICK_NANOS = 100_000_000;

    private final SortedMap<String, Membership> mMembershipByNode = new TreeMap<>();
    private final SortedMap<String, String> mDomainByNode = new TreeMap<>();
    private final Set<String> mPausedNodes = new TreeSet<>();
    private final Random mRandom;
    private final BiPredicate<String, String> mNoLinkBlocked = (from, to) -> false;
    private BiPredicate<String, String> mIsLinkBlocked = mNoLinkBlocked;
    private double mLossRate;
    private long mNowNanos;
    private long mMessageCount;

    public SimulatedGossipNetwork(long seed) {
        mRandom = new Random(seed);
    }

    public SimulatedGossipNetwork addNode(String node, String domain) {
        mDomainByNode.put(node, domain);
        return this;
    }

    public SimulatedGossipNetwork startAll() {
        mDomainByNode.keySet().forEach(this::startNode);
        return this;
    }

    /** Starts a node anew, with a higher incarnation and no memory. */
    public void startNode(String node) {
        Membership m =
                new Membership(
                        node, mDomainByNode.get(node), 1_000 + mNowNanos, MembershipTiming.DEFAULT);
        m.setListedNodes(mDomainByNode);
        mMembershipByNode.put(node, m);
    }

    public void stopNode(String node) {
        mMembershipByNode.remove(node);
    }

    public void pauseNode(String node) {
        mPausedNodes.add(node);
    }

    public void resumeNode(String node) {
        mPausedNodes.remove(node);
    }

    public void blockLinks(BiPredicate<String, String> cut) {
        mIsLinkBlocked = cut;
    }

    public void unblockLinks() {
        mIsLinkBlocked = mNoLinkBlocked;
    }

    public void setLossRate(double share) {
        mLossRate = share;
    }

    public void runSeconds(int seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            mNowNanos += TICK_NANOS;
            List.copyOf(mMembershipByNode.keySet()).forEach(this::tick);
        }
    }

    private void tick(String node) {
        if (!mPausedNodes.contains(node) && mMembershipByNode.containsKey(node)) {
            deliver(node, mMembershipByNode.get(node).tick(mNowNanos));
        }
    }

    private void deliver(String from, List<OutgoingMessage> out) {
        for (OutgoingMessage o : out) {
            mMessageCount++;
            boolean lost =
                    mIsLinkBlocked.test(from, o.to())
                            || mRandom.nextDouble() < mLossRate
                            || mPausedNodes.contains(o.to())
                            || !mMembershipByNode.containsKey(o.to());
            if (!lost) {
                deliver(o.to(), mMembershipByNode.get(o.to()).receive(mNowNanos, o.message()));
            }
        }
    }

    public Membership membership(String id) {
        return mMembershipByNode.get(id);
    }

    public SortedSet<String> usableNodesAt(String node) {
        return mMembershipByNode.get(node).usableNodes();
    }

    public boolean allNodesSee(Set<String> usable) {
        return mMembershipByNode.keySet().stream()
                .filter(n -> !mPausedNodes.contains(n))
                .allMatch(n -> usableNodesAt(n).equals(usable));
    }

    public Set<String> runningNodes() {
        return Set.copyOf(mMembershipByNode.keySet());
    }

    public long messageCount() {
        return mMessageCount;
    }
}
