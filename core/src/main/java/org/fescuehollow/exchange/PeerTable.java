package org.fescuehollow.exchange;

import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The other entry nodes that this node knows, and when each last received a message from it.
 *
 * <p>A few nodes, the claimants, may claim each engine, by rank. All nodes that know the same peers
 * determine the same claimants.
 *
 * <p>Invariants: a message is ignored unless it is newer than all processed messages of its sender;
 * a silent node stays known for {@link #FORGET_AFTER}, as it may only be cut off by a partition.
 * Not safe for concurrent use.
 */
public final class PeerTable {
    /** Longer than any likely partition; a replacement has a new name or is added again. */
    public static final Duration FORGET_AFTER = Duration.ofSeconds(60);

    /** Time after the start for which an unknown seed is assumed to be cut off, not gone. */
    private static final long UNKNOWN_SEED_WAIT_NANOS = Duration.ofSeconds(30).toNanos();

    /** Time without a message until a node of a small fleet no longer counts as live. */
    private static final long MIN_LIVENESS_TIMEOUT_NANOS = Duration.ofMillis(1_500).toNanos();

    private final Peer mSelf;
    private final Map<String, PeerState> mPeers = new HashMap<>();
    private final ClaimantTable mClaimants;
    private long mLivenessTimeoutNanos = MIN_LIVENESS_TIMEOUT_NANOS;
    private long mLastDiscoveryNanos = Long.MIN_VALUE / 2;
    private final long mStartedNanos;
    private boolean mFullView;
    private int mReportedSize;

    /** State of one peer; times are by this node's monotonic clock. */
    private record PeerState(
            Peer peer, long incarnation, long sequence, long heardNanos, boolean leaving) {}

    /**
     * Creates a table that knows only this node.
     *
     * @param self this node
     * @param now the monotonic time in nanoseconds
     */
    public PeerTable(Peer self, long now) {
        this(self, new ClaimantTable(), now);
    }

    PeerTable(Peer self, ClaimantTable claimants, long now) {
        mSelf = self;
        mClaimants = claimants;
        mStartedNanos = now;
        mClaimants.add(self);
    }

    /**
     * Sets how long a node without messages counts as live; large fleets send less often.
     *
     * @param timeout the timeout; at least that of a small fleet is used
     */
    public void setLivenessTimeout(Duration timeout) {
        mLivenessTimeoutNanos = Math.max(MIN_LIVENESS_TIMEOUT_NANOS, timeout.toNanos());
    }

    /**
     * Handles a message of another node.
     *
     * @param peer the sender
     * @param incarnation the sender's incarnation
     * @param sequence the number of the message within that incarnation
     * @param leaving true if the sender is shutting down and accepts no more work
     * @param now the monotonic time in nanoseconds
     * @return true if the message is newer than all previous ones
     */
    public boolean onMessage(
            Peer peer, long incarnation, long sequence, boolean leaving, long now) {
        PeerState known = mPeers.get(peer.name());
        boolean outdated =
                known != null
                        && (incarnation < known.incarnation()
                                || incarnation == known.incarnation()
                                        && sequence <= known.sequence());
        if (outdated || peer.name().equals(mSelf.name())) {
            return false;
        }
        mLastDiscoveryNanos = known == null ? now : mLastDiscoveryNanos;
        if (leaving) {
            mClaimants.remove(peer);
        } else {
            mClaimants.add(peer);
        }
        mPeers.put(peer.name(), new PeerState(peer, incarnation, sequence, now, leaving));
        return true;
    }

    /**
     * Returns the incarnation of a node.
     *
     * @param name the name of the node
     * @return the incarnation of its newest message; 0 if none was received
     */
    public long incarnation(String name) {
        return Optional.ofNullable(mPeers.get(name)).map(PeerState::incarnation).orElse(0L);
    }

    /**
     * Adds a node from another node's list of peers, if it is unknown.
     *
     * @param peer the node
     * @param now the monotonic time in nanoseconds
     */
    public void onPeerMentioned(Peer peer, long now) {
        if (!peer.name().equals(mSelf.name()) && !mPeers.containsKey(peer.name())) {
            long heard = now - mLivenessTimeoutNanos;
            mLastDiscoveryNanos = now;
            mPeers.put(peer.name(), new PeerState(peer, 0, 0, heard, false));
            mClaimants.add(peer);
        }
    }

    /**
     * Returns the nodes that may claim an engine, by rank: nodes of its failure domain first, then
     * the others, each group in the order of a rendezvous hash.
     *
     * @param engine the engine's id
     * @param domain its failure domain
     * @return the claimants, possibly including this node
     */
    public List<Peer> claimants(String engine, String domain) {
        return mClaimants.claimants(engine, domain);
    }

    /**
     * Returns whether this node may claim an engine.
     *
     * @param engine the engine's id
     * @param domain its failure domain
     * @return true if it is one of the claimants
     */
    public boolean mayClaim(String engine, String domain) {
        return claimants(engine, domain).contains(mSelf);
    }

    /**
     * Returns whether this node knows all others, so that its ranks are correct. A node that starts
     * while it is cut off would otherwise rank first for every engine.
     *
     * @param seeds IP addresses of nodes, configured by the operator
     * @param now the monotonic time in nanoseconds
     * @return true once it knew all seeds, or as many nodes as another node with a full view; after
     *     a long time also with more than half of the seeds, as one may be gone permanently
     */
    public boolean hasFullView(Collection<String> seeds, long now) {
        if (!mFullView) {
            Set<String> knownIps =
                    mPeers.values().stream().map(p -> p.peer().ip()).collect(toSet());
            long otherSeeds = seeds.stream().filter(s -> !s.equals(mSelf.ip())).count();
            long knownSeeds = seeds.stream().filter(knownIps::contains).count();
            boolean matchesReported = mReportedSize > 0 && size() >= mReportedSize;
            boolean seedsTimedOut =
                    now - mStartedNanos >= UNKNOWN_SEED_WAIT_NANOS && knownSeeds * 2 > otherSeeds;
            mFullView = matchesReported || knownSeeds == otherSeeds || seedsTimedOut;
        }
        return mFullView;
    }

    /**
     * Handles the number of nodes as reported by a node with a full view.
     *
     * @param nodes the number of nodes, including the reporting one
     */
    public void onClusterSize(int nodes) {
        mReportedSize = nodes;
    }

    /**
     * Returns this node's rank for an engine.
     *
     * @param engine the engine's id
     * @param domain its failure domain
     * @return the number of nodes that rank better; the maximum number of claimants if it isn't one
     */
    public int rank(String engine, String domain) {
        int rank = claimants(engine, domain).indexOf(mSelf);
        return rank < 0 ? ClaimantTable.MAX_CLAIMANTS : rank;
    }

    /**
     * Removes nodes that were silent for {@link #FORGET_AFTER}.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void removeSilent(long now) {
        List<PeerState> silent =
                mPeers.values().stream()
                        .filter(known -> now - known.heardNanos() > FORGET_AFTER.toNanos())
                        .toList();
        silent.forEach(known -> mPeers.remove(known.peer().name()));
        silent.forEach(known -> mClaimants.remove(known.peer()));
    }

    /**
     * Returns the known peers.
     *
     * @return a copy, without this node
     */
    public List<Peer> peers() {
        List<Peer> peers = new ArrayList<>();
        mPeers.values().forEach(known -> peers.add(known.peer()));
        return peers;
    }

    /**
     * Returns how long ago a message of a node was received.
     *
     * @param name the name of the node
     * @param now the monotonic time in nanoseconds
     * @return the time in milliseconds, or empty if none was received
     */
    public Optional<Long> heardMillisAgo(String name, long now) {
        return Optional.ofNullable(mPeers.get(name))
                .filter(p -> p.incarnation() > 0)
                .map(known -> Duration.ofNanos(now - known.heardNanos()).toMillis());
    }

    /**
     * Returns whether a message of a node was received recently.
     *
     * @param name the name of the node
     * @param now the monotonic time in nanoseconds
     * @return true if it counts as live
     */
    public boolean isLive(String name, long now) {
        return heardMillisAgo(name, now)
                .map(m -> m * 1_000_000 < mLivenessTimeoutNanos)
                .orElse(false);
    }

    /**
     * Returns whether a node has announced that it is leaving.
     *
     * @param name the name of the node
     * @return true until it has started again
     */
    public boolean isLeaving(String name) {
        return Optional.ofNullable(mPeers.get(name)).map(PeerState::leaving).orElse(false);
    }

    /**
     * Returns when this node last discovered an unknown node. While it still discovers nodes, ranks
     * may change.
     *
     * @return a monotonic time in nanoseconds; far in the past if it knows no other node
     */
    public long lastDiscoveryNanos() {
        return mLastDiscoveryNanos;
    }

    /**
     * Returns a node by its name.
     *
     * @param name the name of the node
     * @return the node, or empty if unknown
     */
    public Optional<Peer> find(String name) {
        return Optional.ofNullable(mPeers.get(name)).map(PeerState::peer);
    }

    /**
     * Returns the number of known nodes, including this one.
     *
     * @return at least one
     */
    public int size() {
        return mPeers.size() + 1;
    }
}
