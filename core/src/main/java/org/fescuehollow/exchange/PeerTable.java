package org.fescuehollow.exchange;

import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.fescuehollow.hashing.Rendezvous;

/**
 * The entry nodes that this node has heard of, and how well each hears this one.
 *
 * <p>A few nodes may claim each engine, by rank; all nodes that know the same others agree on them.
 *
 * <p>Invariants: a message older than one already taken of the same life changes nothing; a node
 * that fell silent stays known for {@link #FORGET_AFTER}, as it may only be cut off. Not safe for
 * concurrent use.
 */
public final class PeerTable {
    /** Longer than any partition that is likely; a replacement has another name or comes back. */
    public static final Duration FORGET_AFTER = Duration.ofSeconds(60);

    /** After a start, the time for which a seed that isn't known may still be cut off. */
    private static final long UNKNOWN_SEED_WAIT_NANOS = Duration.ofSeconds(30).toNanos();

    /** A node unheard for longer is no longer counted as live, in a small fleet. */
    private static final long MIN_LIVENESS_TIMEOUT_NANOS = Duration.ofMillis(1_500).toNanos();

    /** Engines whose claimants are remembered; engines that are gone leave theirs behind. */
    private static final int MAX_CACHED_ENGINES = 4_096;

    /**
     * Nodes that may claim an engine: with its domain's nodes first, one is left if a domain of two
     * is lost. Each more has to hear the holder.
     */
    private static final int MAX_CLAIMANTS = 3;

    private final Peer mSelf;
    private final Map<String, PeerState> mPeers = new HashMap<>();
    private final Map<String, List<Peer>> mClaimants = new HashMap<>();
    private long mLivenessTimeoutNanos = MIN_LIVENESS_TIMEOUT_NANOS;
    private long mLastDiscoveryNanos = Long.MIN_VALUE / 2;
    private final long mStartedNanos;
    private boolean mFullView;
    private int mReportedSize;

    /** What is known of one node; times are by this node's monotonic clock. */
    private record PeerState(
            Peer peer,
            long incarnation,
            long sequence,
            long heardNanos,
            Optional<Long> heardSelfNanos,
            boolean leaving) {}

    /**
     * Creates a table that knows only this node.
     *
     * @param self this node
     * @param now the monotonic time in nanoseconds
     */
    public PeerTable(Peer self, long now) {
        mSelf = self;
        mStartedNanos = now;
    }

    /**
     * Sets how long an unheard node counts as live; nodes of a large fleet are heard less often.
     *
     * @param trust the time for which a node's word is believed
     */
    public void setLivenessTimeout(Duration trust) {
        mLivenessTimeoutNanos = Math.max(MIN_LIVENESS_TIMEOUT_NANOS, trust.toNanos());
    }

    /**
     * Takes a message of another node.
     *
     * @param peer the sender
     * @param incarnation the sender's life
     * @param sequence the message's number in that life
     * @param leaving whether the sender takes no more work
     * @param heardMeMillis how long ago it heard this node, if it did
     * @param now the monotonic time in nanoseconds
     * @return true if the message is newer than those before
     */
    public boolean onMessage(
            Peer peer,
            long incarnation,
            long sequence,
            boolean leaving,
            Optional<Long> heardMeMillis,
            long now) {
        PeerState k = mPeers.get(peer.name());
        boolean old =
                k != null
                        && (incarnation < k.incarnation()
                                || incarnation == k.incarnation() && sequence <= k.sequence());
        if (old || peer.name().equals(mSelf.name())) {
            return false;
        }
        mLastDiscoveryNanos = k == null ? now : mLastDiscoveryNanos;
        if (k == null || k.leaving() != leaving || !k.peer().equals(peer)) {
            mClaimants.clear();
        }
        Optional<Long> heardMe = heardMeMillis.map(m -> now - Duration.ofMillis(m).toNanos());
        mPeers.put(peer.name(), new PeerState(peer, incarnation, sequence, now, heardMe, leaving));
        return true;
    }

    /**
     * Takes that another node knows a node.
     *
     * @param peer the node
     * @param now the monotonic time in nanoseconds
     */
    public void onPeerMentioned(Peer peer, long now) {
        if (!peer.name().equals(mSelf.name()) && !mPeers.containsKey(peer.name())) {
            long heard = now - mLivenessTimeoutNanos;
            mLastDiscoveryNanos = now;
            mPeers.put(peer.name(), new PeerState(peer, 0, 0, heard, Optional.empty(), false));
            mClaimants.clear();
        }
    }

    /**
     * Returns when the last of the nodes that may claim an engine heard this one. The others don't
     * matter, dead or cut off: they never give it orders.
     *
     * @param engine the engine's id
     * @param domain its failure domain
     * @param now the monotonic time in nanoseconds
     * @return a monotonic time; {@code now} if no other node may claim it
     */
    public long lastHeardByClaimantsNanos(String engine, String domain, long now) {
        return claimants(engine, domain).stream()
                .filter(p -> !p.equals(mSelf))
                .map(p -> mPeers.get(p.name()))
                .mapToLong(k -> k.heardSelfNanos().orElse(now - FORGET_AFTER.toNanos()))
                .min()
                .orElse(now);
    }

    /**
     * Returns the nodes that may claim an engine, by rank: nodes of its failure domain first, and
     * within each group a hash decides.
     *
     * @param engine the engine's id
     * @param domain its failure domain
     * @return a few nodes, this one perhaps among them
     */
    public List<Peer> claimants(String engine, String domain) {
        if (mClaimants.size() > MAX_CACHED_ENGINES) {
            mClaimants.clear();
        }
        return mClaimants.computeIfAbsent(
                engine + ' ' + domain,
                k ->
                        Stream.concat(
                                        Stream.of(mSelf),
                                        mPeers.values().stream()
                                                .filter(n -> !n.leaving())
                                                .map(PeerState::peer))
                                .sorted(byRank(engine, domain))
                                .limit(MAX_CLAIMANTS)
                                .toList());
    }

    /**
     * Tells whether this node may claim an engine.
     *
     * @param engine the engine's id
     * @param domain its failure domain
     * @return true for the nodes that rank best
     */
    public boolean mayClaim(String engine, String domain) {
        return claimants(engine, domain).contains(mSelf);
    }

    /**
     * Tells whether this node knows all others, so that its ranks are right. One that started while
     * it was cut off ranks first for everything until then.
     *
     * @param seeds IP numbers of nodes, given by the operator
     * @param now the monotonic time in nanoseconds
     * @return true once it knew all seeds, or as many nodes as another one that knows all of them;
     *     after a long time also with more than half of the seeds, as one may be gone for good
     */
    public boolean hasFullView(Collection<String> seeds, long now) {
        if (!mFullView) {
            Set<String> known = mPeers.values().stream().map(k -> k.peer().ip()).collect(toSet());
            long others = seeds.stream().filter(s -> !s.equals(mSelf.ip())).count();
            long found = seeds.stream().filter(known::contains).count();
            boolean told = mReportedSize > 0 && size() >= mReportedSize;
            boolean late = now - mStartedNanos >= UNKNOWN_SEED_WAIT_NANOS && found * 2 > others;
            mFullView = told || found == others || late;
        }
        return mFullView;
    }

    /**
     * Takes how many nodes there are, from a node that knows them all.
     *
     * @param nodes the number
     */
    public void onClusterSize(int nodes) {
        mReportedSize = nodes;
    }

    /**
     * Returns this node's rank for an engine.
     *
     * @param engine the engine's id
     * @param domain its failure domain
     * @return how many nodes rank better; the number of claimants if it isn't one of them
     */
    public int rank(String engine, String domain) {
        int rank = claimants(engine, domain).indexOf(mSelf);
        return rank < 0 ? MAX_CLAIMANTS : rank;
    }

    private static Comparator<Peer> byRank(String engine, String domain) {
        long key = Rendezvous.hash(engine);
        return Comparator.<Peer, Boolean>comparing(p -> !p.domain().equals(domain))
                .thenComparing(
                        p -> Rendezvous.weight(key, Rendezvous.hash(p.name())),
                        (a, b) -> Long.compareUnsigned(b, a));
    }

    /**
     * Forgets nodes that were silent for long.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void removeSilent(long now) {
        if (mPeers.values().removeIf(k -> now - k.heardNanos() > FORGET_AFTER.toNanos())) {
            mClaimants.clear();
        }
    }

    /**
     * Returns the nodes known.
     *
     * @return a copy, without this node
     */
    public List<Peer> peers() {
        List<Peer> peers = new ArrayList<>();
        mPeers.values().forEach(k -> peers.add(k.peer()));
        return peers;
    }

    /**
     * Returns how long ago a node was heard.
     *
     * @param name the node
     * @param now the monotonic time in nanoseconds
     * @return milliseconds, or empty if it was never heard
     */
    public Optional<Long> heardMillisAgo(String name, long now) {
        return Optional.ofNullable(mPeers.get(name))
                .filter(k -> k.incarnation() > 0)
                .map(k -> Duration.ofNanos(now - k.heardNanos()).toMillis());
    }

    /**
     * Tells whether a node was heard lately.
     *
     * @param name the node
     * @param now the monotonic time in nanoseconds
     * @return true if it counts as live
     */
    public boolean isLive(String name, long now) {
        return heardMillisAgo(name, now)
                .map(m -> m * 1_000_000 < mLivenessTimeoutNanos)
                .orElse(false);
    }

    /**
     * Returns when this node last learnt of a node that it did not know. While it learns of more,
     * ranks may still change.
     *
     * @return a monotonic time in nanoseconds; long ago if it knows none
     */
    public long lastDiscoveryNanos() {
        return mLastDiscoveryNanos;
    }

    /**
     * Finds a node.
     *
     * @param name its name
     * @return the node, or empty if it is unknown
     */
    public Optional<Peer> find(String name) {
        return Optional.ofNullable(mPeers.get(name)).map(PeerState::peer);
    }

    /**
     * Returns the number of nodes, this one included.
     *
     * @return at least one
     */
    public int size() {
        return mPeers.size() + 1;
    }
}
