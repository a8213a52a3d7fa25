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

/**
 * Many {@link Membership} instances on a simulated network in virtual time, which can lose
 * messages, block links and pause nodes.
 */
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

    /** Starts a node, or restarts it with a higher incarnation and without any earlier state. */
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

    public void blockLinks(BiPredicate<String, String> isBlocked) {
        mIsLinkBlocked = isBlocked;
    }

    public void unblockLinks() {
        mIsLinkBlocked = mNoLinkBlocked;
    }

    public void setLossRate(double rate) {
        mLossRate = rate;
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

    private void deliver(String from, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            mMessageCount++;
            boolean lost =
                    mIsLinkBlocked.test(from, message.to())
                            || mRandom.nextDouble() < mLossRate
                            || mPausedNodes.contains(message.to())
                            || !mMembershipByNode.containsKey(message.to());
            if (!lost) {
                deliver(
                        message.to(),
                        mMembershipByNode.get(message.to()).receive(mNowNanos, message.message()));
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
