package org.fescuehollow.exchange;

import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.fescuehollow.hashing.Rendezvous;

/**
 * Decides which peers receive the state messages of this node in each period.
 *
 * <p>Load pattern: the fleet grows. With messages to all nodes in each period, the cost of a node
 * would grow linearly with the fleet and the total cost quadratically. So in a large fleet, a node
 * sends to its close peers, which claim the same engines, in each period, and to a fixed number of
 * distant peers in rotation. A peer that is new to it receives its first messages soon.
 *
 * <p>Invariant: every known peer receives a message within one round. Not safe for concurrent use.
 */
public final class GossipSchedule {
    /** Message period; about a third of the time for which an unconfirmed lease can be used. */
    public static final Duration PERIOD = Duration.ofMillis(200);

    /** Up to this many peers, each receives all state in every period and changes at once. */
    private static final int MAX_FULL_MESH_PEERS = 16;

    /** Number of distant peers that receive a message in each period. */
    private static final int DISTANT_PEERS_PER_PERIOD = 8;

    /** Rounds without a message until a node counts as silent, as datagrams may be lost. */
    private static final int SILENT_AFTER_ROUNDS = 5;

    /** Messages that a new peer receives soon; the second makes up for a lost one. */
    private static final int GREETINGS = 2;

    /**
     * Number of peers that receive such a message in a period. A node that has just started learns
     * of others, and they of it, by these messages.
     */
    private static final int NEW_PEERS_PER_PERIOD = 24;

    private final Rotation mDistantPeers;
    private final Map<String, Integer> mGreetings = new HashMap<>();
    private final long mSelfHash;
    private long mDrawCount;

    /**
     * Creates a schedule.
     *
     * @param self the name of this node
     */
    public GossipSchedule(String self) {
        mDistantPeers = new Rotation(self);
        mSelfHash = Rendezvous.hash(self);
    }

    /**
     * Returns whether the fleet is small enough to send every message to all peers.
     *
     * @param peerCount the number of known peers
     * @return true for a small fleet
     */
    public boolean isFullMesh(int peerCount) {
        return peerCount <= MAX_FULL_MESH_PEERS;
    }

    /**
     * Chooses the recipients of this period and advances the rotation of distant peers.
     *
     * @param peers the known peers
     * @param close the names of the close peers
     * @return the recipients
     */
    public List<Peer> recipients(List<Peer> peers, Set<String> close) {
        if (isFullMesh(peers.size())) {
            return peers;
        }
        mGreetings.keySet().retainAll(peers.stream().map(Peer::name).collect(toSet()));
        Set<Peer> recipients = new LinkedHashSet<>();
        peers.stream().filter(p -> containsName(close, p)).forEach(recipients::add);
        IntStream.range(0, GREETINGS)
                .boxed()
                .flatMap(n -> peers.stream().filter(p -> greetings(p) == n))
                .limit(NEW_PEERS_PER_PERIOD)
                .forEach(recipients::add);
        recipients.addAll(
                mDistantPeers.next(peers, p -> !recipients.contains(p), DISTANT_PEERS_PER_PERIOD));
        recipients.forEach(p -> mGreetings.merge(p.name(), 1, Integer::sum));
        return List.copyOf(recipients);
    }

    private int greetings(Peer peer) {
        return mGreetings.getOrDefault(peer.name(), 0);
    }

    /**
     * Chooses the nodes that the messages of a period mention, so that others learn of them. They
     * are drawn at random: neighbors in an order would tell each other what both know.
     *
     * @param known the nodes to choose from
     * @param count how many to choose at most
     * @return the nodes, each once
     */
    public List<Peer> mentions(List<Peer> known, int count) {
        long draw = Rendezvous.weight(mSelfHash, ++mDrawCount);
        SortedMap<Long, Peer> shuffled = new TreeMap<>();
        known.forEach(p -> shuffled.put(Rendezvous.weight(draw, Rendezvous.hash(p.name())), p));
        return shuffled.values().stream().limit(count).toList();
    }

    private static boolean containsName(Set<String> names, Peer peer) {
        return names.contains(peer.name());
    }

    /**
     * Handles the start of a peer, which has forgotten all that it was told.
     *
     * @param name the name of the peer
     */
    public void onPeerStarted(String name) {
        mGreetings.remove(name);
    }

    /**
     * Returns the time within which each peer receives its first message.
     *
     * @param peerCount the number of known peers
     * @return the duration; one period for a small fleet
     */
    public Duration greetingDuration(int peerCount) {
        return isFullMesh(peerCount)
                ? PERIOD
                : PERIOD.multipliedBy(
                        (peerCount + NEW_PEERS_PER_PERIOD - 1) / NEW_PEERS_PER_PERIOD);
    }

    /**
     * Returns the time within which each peer receives at least one message.
     *
     * @param peerCount the number of known peers
     * @return the duration of a round; one period for a small fleet
     */
    public Duration roundDuration(int peerCount) {
        return isFullMesh(peerCount)
                ? PERIOD
                : PERIOD.multipliedBy(
                        (peerCount + DISTANT_PEERS_PER_PERIOD - 1) / DISTANT_PEERS_PER_PERIOD);
    }

    /**
     * Returns how long the state in a message of another node is valid.
     *
     * @param peerCount the number of known peers
     * @return a few rounds, so that lost messages are tolerated
     */
    public Duration stateTtl(int peerCount) {
        return isFullMesh(peerCount)
                ? PERIOD.multipliedBy(SILENT_AFTER_ROUNDS)
                : roundDuration(peerCount).multipliedBy(SILENT_AFTER_ROUNDS / 2);
    }
}
