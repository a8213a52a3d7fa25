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
import org.fescuehollow.membership.Outgoing;

/** Many memberships on a network in virtual time that can lose, cut and pause. */
public final class GossipNet {
    private static final long TICK_NANOS = 100_000_000;

    private final SortedMap<String, Membership> mNodes = new TreeMap<>();
    private final SortedMap<String, String> mDomains = new TreeMap<>();
    private final Set<String> mPaused = new TreeSet<>();
    private final Random mRandom;
    private final BiPredicate<String, String> mNothingCut = (from, to) -> false;
    private BiPredicate<String, String> mCut = mNothingCut;
    private double mLoss;
    private long mNow;
    private long mMessages;

    public GossipNet(long seed) {
        mRandom = new Random(seed);
    }

    public GossipNet with(String node, String domain) {
        mDomains.put(node, domain);
        return this;
    }

    public GossipNet start() {
        mDomains.keySet().forEach(this::life);
        return this;
    }

    /** Starts a node anew, with a higher incarnation and no memory. */
    public void life(String node) {
        Membership m =
                new Membership(node, mDomains.get(node), 1_000 + mNow, MembershipTiming.DEFAULT);
        m.listed(mDomains);
        mNodes.put(node, m);
    }

    public void stop(String node) {
        mNodes.remove(node);
    }

    public void pause(String node) {
        mPaused.add(node);
    }

    public void wake(String node) {
        mPaused.remove(node);
    }

    public void cut(BiPredicate<String, String> cut) {
        mCut = cut;
    }

    public void heal() {
        mCut = mNothingCut;
    }

    public void lose(double share) {
        mLoss = share;
    }

    public void run(int seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            mNow += TICK_NANOS;
            List.copyOf(mNodes.keySet()).forEach(this::tick);
        }
    }

    private void tick(String node) {
        if (!mPaused.contains(node) && mNodes.containsKey(node)) {
            deliver(node, mNodes.get(node).tick(mNow));
        }
    }

    private void deliver(String from, List<Outgoing> out) {
        for (Outgoing o : out) {
            mMessages++;
            boolean lost =
                    mCut.test(from, o.to())
                            || mRandom.nextDouble() < mLoss
                            || mPaused.contains(o.to())
                            || !mNodes.containsKey(o.to());
            if (!lost) {
                deliver(o.to(), mNodes.get(o.to()).receive(mNow, o.message()));
            }
        }
    }

    public Membership node(String id) {
        return mNodes.get(id);
    }

    public SortedSet<String> usableAt(String node) {
        return mNodes.get(node).usable();
    }

    public boolean allSee(Set<String> usable) {
        return mNodes.keySet().stream()
                .filter(n -> !mPaused.contains(n))
                .allMatch(n -> usableAt(n).equals(usable));
    }

    public Set<String> running() {
        return Set.copyOf(mNodes.keySet());
    }

    public long messages() {
        return mMessages;
    }
}
