package org.fescuehollow.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongBinaryOperator;
import org.fescuehollow.hashing.Rendezvous;

/**
 * The nodes that may claim each engine, by rank: nodes of its failure domain first, then the
 * others, each group in the order of a rendezvous hash.
 *
 * <p>Load pattern: all nodes of a large fleet start within a moment and learn of each other one by
 * one. A new node is compared to the claimants of each engine; the ranking starts over only for
 * engines that lose a claimant.
 *
 * <p>Invariant: a ranking never depends on the order in which nodes were added. Not safe for
 * concurrent use.
 */
final class ClaimantTable {
    /**
     * Number of nodes that may claim an engine. Nodes of its failure domain rank first, so one is
     * left if a failure domain with two nodes is lost. Each additional claimant also has to receive
     * the holder's messages.
     */
    static final int MAX_CLAIMANTS = 3;

    /** Maximum number of rankings, which also include those of engines that are gone. */
    private static final int MAX_RANKINGS = 4_096;

    private final LongBinaryOperator mWeight;
    private final Map<String, Node> mNodes = new HashMap<>();
    private final Map<String, Ranking> mRankings = new HashMap<>();

    /** A node and the hash of its name. */
    private record Node(Peer peer, long hash) {}

    /** A node with its criteria of rank for one engine. */
    private record Candidate(Peer peer, boolean remote, long weight) {
        private static final Comparator<Candidate> BEST_FIRST =
                Comparator.comparing(Candidate::remote)
                        .thenComparing(Candidate::weight, (a, b) -> Long.compareUnsigned(b, a));
    }

    ClaimantTable() {
        this(Rendezvous::weight);
    }

    /**
     * Creates an empty table.
     *
     * @param weight returns the weight of a pair of an engine's hash and a node's hash
     */
    ClaimantTable(LongBinaryOperator weight) {
        mWeight = weight;
    }

    /** Adds a node, or replaces its address or failure domain. */
    void add(Peer peer) {
        Node before = mNodes.get(peer.name());
        if (before != null && before.peer().equals(peer)) {
            return;
        }
        if (before != null) {
            remove(before.peer());
        }
        Node node = new Node(peer, Rendezvous.hash(peer.name()));
        mNodes.put(peer.name(), node);
        mRankings.values().forEach(r -> r.add(node));
    }

    /** Removes a node that is gone or takes no more work. */
    void remove(Peer peer) {
        if (mNodes.remove(peer.name()) != null) {
            mRankings.values().removeIf(r -> r.contains(peer.name()));
        }
    }

    /** Returns the claimants of an engine, the best first. */
    List<Peer> claimants(String engine, String domain) {
        if (mRankings.size() > MAX_RANKINGS) {
            mRankings.clear();
        }
        Ranking ranking = mRankings.get(engine);
        if (ranking == null || !ranking.domain().equals(domain)) {
            ranking = new Ranking(engine, domain, mNodes.values());
            mRankings.put(engine, ranking);
        }
        return ranking.peers();
    }

    /** The best candidates for one engine. */
    private final class Ranking {
        private final long mEngineHash;
        private final String mDomain;
        private final List<Candidate> mBest = new ArrayList<>(MAX_CLAIMANTS + 1);
        private List<Peer> mPeers = List.of();

        Ranking(String engine, String domain, Collection<Node> nodes) {
            mEngineHash = Rendezvous.hash(engine);
            mDomain = domain;
            nodes.forEach(this::add);
        }

        void add(Node node) {
            boolean remote = !node.peer().domain().equals(mDomain);
            long weight = mWeight.applyAsLong(mEngineHash, node.hash());
            Candidate candidate = new Candidate(node.peer(), remote, weight);
            if (mBest.size() == MAX_CLAIMANTS
                    && Candidate.BEST_FIRST.compare(mBest.get(MAX_CLAIMANTS - 1), candidate) <= 0) {
                return;
            }
            mBest.add(candidate);
            mBest.sort(Candidate.BEST_FIRST);
            if (mBest.size() > MAX_CLAIMANTS) {
                mBest.remove(MAX_CLAIMANTS);
            }
            mPeers = mBest.stream().map(Candidate::peer).toList();
        }

        boolean contains(String name) {
            return mPeers.stream().anyMatch(p -> p.name().equals(name));
        }

        String domain() {
            return mDomain;
        }

        List<Peer> peers() {
            return mPeers;
        }
    }
}
