package org.fescuehollow.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Decides which nodes hear this one, and how often.
 *
 * <p>Load pattern: the fleet grows. Messages to all nodes each period would cost each node in
 * proportion to the fleet, and the fleet its square. So a node tells the few that claim the same
 * engines each period, and the others in turn, a fixed number each period.
 *
 * <p>Invariant: every known node is told within a round. Not safe for concurrent use.
 */
public final class GossipSchedule {
    /** The period of messages; a third of the time that a reign outlives its last sight. */
    public static final Duration PERIOD = Duration.ofMillis(200);

    /** While nodes are this few, each hears everything each period and at once. */
    private static final int MAX_FULL_MESH_PEERS = 16;

    /** Nodes besides the close ones that are told each period. */
    private static final int DISTANT_PEERS_PER_PERIOD = 8;

    /** Rounds without a word after which a node counts as silent, as datagrams may be lost. */
    private static final int SILENT_AFTER_ROUNDS = 5;

    private int mNextIndex;

    /**
     * Tells whether nodes are few enough to tell each everything at once.
     *
     * @param nodes the other nodes known
     * @return true for a small fleet
     */
    public boolean isFullMesh(int nodes) {
        return nodes <= MAX_FULL_MESH_PEERS;
    }

    /**
     * Chooses the nodes to tell in this period.
     *
     * @param nodes the other nodes known
     * @param close names of those that claim the same engines as this one
     * @return the nodes to tell
     */
    public List<Peer> recipients(List<Peer> nodes, Set<String> close) {
        if (isFullMesh(nodes.size())) {
            return nodes;
        }
        List<Peer> due =
                new ArrayList<>(nodes.stream().filter(p -> containsName(close, p)).toList());
        List<Peer> others =
                nodes.stream()
                        .filter(p -> !containsName(close, p))
                        .sorted(Comparator.comparing(Peer::name))
                        .toList();
        for (int i = 0; i < Math.min(DISTANT_PEERS_PER_PERIOD, others.size()); i++) {
            due.add(others.get(Math.floorMod(mNextIndex++, others.size())));
        }
        return due;
    }

    private static boolean containsName(Set<String> names, Peer peer) {
        return names.contains(peer.name());
    }

    /**
     * Returns the time within which each node is told at least once.
     *
     * @param nodes the other nodes known
     * @return one period for a small fleet
     */
    public Duration roundDuration(int nodes) {
        return isFullMesh(nodes)
                ? PERIOD
                : PERIOD.multipliedBy(
                        (nodes + DISTANT_PEERS_PER_PERIOD - 1) / DISTANT_PEERS_PER_PERIOD);
    }

    /**
     * Returns the time for which what another node said is believed.
     *
     * @param nodes the other nodes known
     * @return a few rounds
     */
    public Duration stateTtl(int nodes) {
        return isFullMesh(nodes)
                ? PERIOD.multipliedBy(SILENT_AFTER_ROUNDS)
                : roundDuration(nodes).multipliedBy(SILENT_AFTER_ROUNDS / 2);
    }
}
