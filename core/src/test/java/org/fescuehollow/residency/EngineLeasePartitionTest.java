package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Simulates network partitions and restarts of nodes that compete for one engine, in virtual time.
 * All nodes reach the engine at all times, which is the worst case: only the lease rules keep two
 * nodes from giving it orders.
 */
class EngineLeasePartitionTest {
    static final long LEASE_MILLIS = 3_000;
    private static final long STEP_MILLIS = 50;
    private static final long END_MILLIS = 60_000;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long HOLDER_TIMEOUT_MILLIS = 1_000;

    /**
     * The platform tolerates orders of two nodes within this time after a partition ends, so the
     * test doesn't check them.
     */
    private static final long HEAL_GRACE_MILLIS = 300;

    /** A node that can't reach a seed for longer than 30 s considers it gone. */
    private static final long MAX_PARTITION_MILLIS = 20_000;

    private static final int MAX_WITNESSES = 3;

    /** Requests to the witnesses and their answers may be this late, each. */
    private static final int MAX_DELAY_STEPS = 6;

    private static final String ENGINE = "engine";
    private static final String DOMAIN = "d0";

    static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    /** The nodes, the engine and the injected faults. */
    private static final class Simulation {
        private final Random mRandom;
        private final List<SimulatedNode> mNodes = new ArrayList<>();
        private final List<String> mSeeds = new ArrayList<>();
        private final TreeMap<Long, Long> mCounts = new TreeMap<>(Map.of(-10_000L, 0L));
        private final Map<SimulatedNode, Long> mLastOrderMillis = new HashMap<>();
        private final Map<Long, List<Runnable>> mDeliveries = new HashMap<>();
        private final Set<List<SimulatedNode>> mCutLinks = new HashSet<>();
        private final Faults mFaults;
        private final long mLag;
        private boolean mCountFrozen;
        private long mHealedMillis;

        Simulation(long seed, int nodes, int lag, Faults faults) {
            mFaults = faults;
            mRandom = new Random(seed);
            mLag = lag;
            for (int i = 0; i < nodes; i++) {
                mNodes.add(new SimulatedNode(i));
                mSeeds.add("10.0.0." + i);
            }
        }

        void run() {
            for (long t = 0; t < END_MILLIS; t += STEP_MILLIS) {
                mFaults.inject(this, t);
                Optional.ofNullable(mDeliveries.remove(t)).orElse(List.of()).forEach(Runnable::run);
                for (SimulatedNode n : mNodes) {
                    if (n.isUp(t)) {
                        step(n, t);
                    }
                }
            }
        }

        private List<SimulatedNode> witnesses() {
            return mNodes.subList(0, Math.min(MAX_WITNESSES, mNodes.size()));
        }

        private List<String> witnessNames() {
            return witnesses().stream().map(w -> w.mSelf.name()).toList();
        }

        private boolean canReach(SimulatedNode from, SimulatedNode to, long t) {
            return to.isUp(t) && from.mGroup == to.mGroup && !mCutLinks.contains(List.of(from, to));
        }

        /** Delivers a message late, unless it is lost, cut off, or its receiver restarts. */
        private void deliver(SimulatedNode from, SimulatedNode to, long t, LongConsumer action) {
            if (from == to) {
                action.accept(t);
                return;
            }
            if (mRandom.nextInt(20) == 0) {
                return;
            }
            long at = t + STEP_MILLIS * mRandom.nextInt(1, MAX_DELAY_STEPS);
            long started = to.mStarted;
            mDeliveries
                    .computeIfAbsent(at, k -> new ArrayList<>())
                    .add(
                            () -> {
                                if (canReach(from, to, at) && to.mStarted == started) {
                                    action.accept(at);
                                }
                            });
        }

        private void askWitnesses(SimulatedNode n, long t) {
            String node = n.incarnation();
            for (SimulatedNode w : witnesses()) {
                deliver(
                        n,
                        w,
                        t,
                        at -> {
                            boolean granted =
                                    w.mWitness
                                            .request(ENGINE, node, nanos(t), 0, nanos(at))
                                            .isPresent();
                            if (granted) {
                                deliver(w, n, at, later -> onGranted(n, node, w, t));
                            }
                        });
            }
        }

        /** An answer to an earlier life of a node is ignored. */
        private static void onGranted(
                SimulatedNode n, String node, SimulatedNode witness, long asked) {
            if (n.incarnation().equals(node)) {
                n.mVotes.onGranted(witness.mSelf.name(), nanos(asked));
            }
        }

        private void withdraw(SimulatedNode n, long t) {
            n.mVotes.clear(nanos(t));
            String node = n.incarnation();
            witnesses()
                    .forEach(
                            w ->
                                    deliver(
                                            n,
                                            w,
                                            t,
                                            at ->
                                                    w.mWitness.onWithdrawn(
                                                            ENGINE, node, nanos(t), nanos(at))));
        }

        private void injectPartitions(long t) {
            if (t % 1_000 != 0 || t < 8_000) {
                return;
            }
            mCountFrozen = mRandom.nextInt(3) > 0;
            if (mRandom.nextInt(8) == 0) {
                int groups = 1 + mRandom.nextInt(2);
                mNodes.forEach(n -> n.mGroup = mRandom.nextInt(groups));
                mHealedMillis = t;
            } else if (t % MAX_PARTITION_MILLIS == 0) {
                mNodes.forEach(n -> n.mGroup = 0);
                mHealedMillis = t;
            }
            boolean restartAll = mRandom.nextInt(30) == 0;
            for (SimulatedNode n : mNodes) {
                if (n.isUp(t) && (restartAll || mRandom.nextInt(40) == 0)) {
                    n.mDownUntil = t + 650 + STEP_MILLIS * mRandom.nextInt(30);
                    n.start(n.mDownUntil);
                }
            }
        }

        private void cutLinks(int shareOfTen, long t) {
            Set<List<SimulatedNode>> before = Set.copyOf(mCutLinks);
            mCutLinks.clear();
            for (SimulatedNode a : mNodes) {
                for (SimulatedNode b : mNodes) {
                    if (a != b && mRandom.nextInt(10) < shareOfTen) {
                        mCutLinks.add(List.of(a, b));
                    }
                }
            }
            mHealedMillis = mCutLinks.containsAll(before) ? mHealedMillis : t;
        }

        /** Cuts single directions of links, and stops and starts nodes and the engine. */
        private void injectCutsStopsAndStarts(long t) {
            if (t % 500 != 0 || t < 8_000) {
                return;
            }
            mCountFrozen = mRandom.nextInt(3) > 0;
            if (mRandom.nextInt(4) == 0) {
                cutLinks(mRandom.nextInt(8), t);
            }
            if (mRandom.nextInt(40) == 0) {
                mCounts.put(t, 0L);
                mNodes.stream()
                        .filter(n -> n.isUp(t))
                        .forEach(n -> n.mLease.onEngineRestarted(nanos(t)));
            }
            boolean rolling = t / 8_000 % 2 == 1;
            SimulatedNode next = mNodes.get((int) (t / 1_000 % mNodes.size()));
            for (SimulatedNode n : mNodes) {
                boolean stops = rolling ? n == next && t % 1_000 == 0 : mRandom.nextInt(60) == 0;
                if (n.isUp(t) && stops) {
                    stop(n, t);
                }
            }
        }

        /** Stops a node that says so to those that it reaches, and starts it again. */
        private void stop(SimulatedNode n, long t) {
            n.abandon(t);
            String node = n.incarnation();
            long sequence = ++n.mSequence;
            long incarnation = 1 + n.mStarted;
            for (SimulatedNode o : mNodes) {
                if (o != n && canReach(n, o, t)) {
                    o.mPeers.onMessage(n.mSelf, incarnation, sequence, true, nanos(t));
                    o.mWitness.onReleased(node, nanos(t));
                    if (!o.mLease.isHeld()) {
                        o.mLease.onRivalReleased(nanos(t));
                    }
                    o.mRivalHeard = Long.MIN_VALUE / 2;
                }
            }
            n.mDownUntil = t + 300 + STEP_MILLIS * mRandom.nextInt(40);
            n.start(n.mDownUntil);
        }

        private void step(SimulatedNode n, long t) {
            if (t % 200 == 0) {
                mNodes.stream()
                        .filter(o -> o != n && canReach(n, o, t))
                        .filter(o -> mRandom.nextInt(20) > 0)
                        .forEach(o -> sendMessage(n, o, t));
            }
            boolean rivalHeard = t - n.mRivalHeard < HOLDER_TIMEOUT_MILLIS;
            if (n.mLease.isHeld()) {
                if (t % 200 == 0) {
                    askWitnesses(n, t);
                }
                sendOrder(n, t);
            } else if (rivalHeard) {
                n.mLease.onRivalHeard(nanos(t));
            } else if (n.mPeers.mayClaim(ENGINE, DOMAIN)) {
                observe(n, t);
            }
        }

        private void sendMessage(SimulatedNode from, SimulatedNode to, long t) {
            long now = nanos(t);
            long sequence = ++from.mSequence;
            to.mPeers.onMessage(from.mSelf, 1 + from.mStarted, sequence, false, now);
            from.mPeers.peers().forEach(p -> to.mPeers.onPeerMentioned(p, now));
            if (from.mPeers.hasFullView(mSeeds, now)) {
                to.mPeers.onClusterSize(from.mPeers.size());
            }
            if (from.mLease.isHeld()) {
                to.mRivalHeard = t;
                if (to.mLease.isHeld() && from.mSelf.name().compareTo(to.mSelf.name()) > 0) {
                    to.abandon(t);
                } else if (to.mLease.isHeld()) {
                    to.mLease.onConflict();
                }
            }
        }

        private void observe(SimulatedNode n, long t) {
            long now = nanos(t);
            if (t % 400 == 0) {
                n.mLease.onOrderCount(mCounts.floorEntry(t - mLag).getValue(), now);
            }
            long newest = Math.max(nanos(n.mStarted), n.mPeers.lastDiscoveryNanos());
            boolean settled = now - newest >= nanos(SETTLE_MILLIS);
            int rank = n.mPeers.rank(ENGINE, DOMAIN);
            boolean mayClaim =
                    settled && n.mPeers.hasFullView(mSeeds, now) && n.mLease.mayClaim(rank, now);
            long votes = n.mVotes.majorityNanos(witnessNames());
            if (mayClaim && now - votes <= n.mLease.maxVoteAgeNanos()) {
                n.mCandidacy.onClaimed();
                n.mLease.claim(now);
            } else if (t % 100 == 0) {
                switch (n.mCandidacy.next(mayClaim, rank, now)) {
                    case ASK -> askWitnesses(n, t);
                    case WITHDRAW -> withdraw(n, t);
                    default -> {}
                }
            }
        }

        /** Verifies with the second report after a conflict, as the first may be older than it. */
        private void verifyOrderCount(SimulatedNode n, long t) {
            n.mReports = n.mLease.needsOrderCount() ? n.mReports : 0;
            if (n.mLease.needsOrderCount() && t % 400 == 0 && ++n.mReports > 1) {
                n.mLease.onOrderCountVerified(mCounts.floorEntry(t - mLag).getValue(), nanos(t));
                n.mReports = 0;
            }
        }

        private static boolean isSafelyOrdered(
                SimulatedNode n, long t, SimulatedNode other, long at) {
            return n == other || t - at >= LEASE_MILLIS;
        }

        private void sendOrder(SimulatedNode n, long t) {
            long now = nanos(t);
            verifyOrderCount(n, t);
            long votes = n.mVotes.majorityNanos(witnessNames());
            boolean mayOrder =
                    n.mLease.mayOrder(votes, now)
                            && (!mCountFrozen || n.mLease.mayQueryStatus(now));
            if (!mayOrder || mRandom.nextInt(3) > 0) {
                return;
            }
            boolean checked = t - mHealedMillis >= HEAL_GRACE_MILLIS;
            mLastOrderMillis.forEach(
                    (other, at) ->
                            then(!checked || isSafelyOrdered(n, t, other, at))
                                    .as(
                                            "order of %s at %d after one of %s at %d",
                                            n.mSelf, t, other.mSelf, at)
                                    .isTrue());
            if (checked) {
                mLastOrderMillis.put(n, t);
            }
            if (!mCountFrozen) {
                mCounts.put(t, mCounts.lastEntry().getValue() + 1);
                n.mLease.onOrderAccepted(now);
            }
        }
    }

    /** How faults are injected into a simulation. */
    private interface Faults {
        void inject(Simulation simulation, long t);
    }

    /** Guards against orders of two nodes that claim an engine at the same time. */
    @Property(tries = 200, seed = "20261204")
    void orders_ofTwoNodesAreAtLeastALeaseApart(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 9) int nodes,
            @ForAll @IntRange(min = 50, max = 400) int lag) {
        Simulation simulation = new Simulation(seed, nodes, lag, Simulation::injectPartitions);
        simulation.run();
        then(simulation.mLastOrderMillis).isNotEmpty();
    }

    /**
     * Guards against orders of a node that started again while it is cut off from the holder, which
     * counts fewer claimants than the others do.
     */
    @Property(tries = 200, seed = "20261205")
    void orders_areALeaseApartThroughCutsStopsAndStarts(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 9) int nodes,
            @ForAll @IntRange(min = 50, max = 1_500) int lag) {
        Simulation simulation =
                new Simulation(seed, nodes, lag, Simulation::injectCutsStopsAndStarts);
        simulation.run();
        then(simulation.mLastOrderMillis).isNotEmpty();
    }
}
