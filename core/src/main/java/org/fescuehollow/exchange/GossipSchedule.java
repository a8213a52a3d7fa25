package org.fescuehollow.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Decides which peers receive the state messages of this node in each period.
 *
 * <p>Load pattern: the fleet grows. With messages to all nodes in each period, the cost of a node
 * would grow linearly with the fleet and the total cost quadratically. So in a large fleet, a node
 * sends to its close peers, which claim the same engines, in each period, and to a fixed number of
 * distant peers in rotation.
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

    private int mNextIndex;

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
        List<Peer> recipients =
                new ArrayList<>(peers.stream().filter(p -> containsName(close, p)).toList());
        List<Peer> distant =
                peers.stream()
                        .filter(p -> !containsName(close, p))
                        .sorted(Comparator.comparing(Peer::name))
                        .toList();
        for (int i = 0; i < Math.min(DISTANT_PEERS_PER_PERIOD, distant.size()); i++) {
            recipients.add(distant.get(Math.floorMod(mNextIndex++, distant.size())));
        }
        return recipients;
    }

    private static boolean containsName(Set<String> names, Peer peer) {
        return names.contains(peer.name());
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
