package org.fescuehollow.gateway.exchange;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fescuehollow.exchange.GossipSchedule;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.exchange.PeerTable;
import org.fescuehollow.wire.ExchangeProto.PeerSeen;

/**
 * The nodes that state messages mention, so that nodes learn of each other.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
final class PeerMentions {
    /** Nodes mentioned besides the receiver; a new node hears from all nodes in a round. */
    private static final int MENTIONED_NODES = 3;

    /**
     * Nodes mentioned by a starting node, as others that start with it know few. The message still
     * fits into one packet.
     */
    private static final int MENTIONED_NODES_AT_START = 16;

    /** Nodes silent for longer aren't mentioned, so that all nodes forget one that is gone. */
    private static final long MAX_MENTION_AGE_MILLIS = 30_000;

    /** Time after its start in which a node mentions more nodes. */
    private static final long STARTUP_NANOS = Duration.ofSeconds(4).toNanos();

    private final PeerTable mPeers;
    private final GossipSchedule mSchedule;
    private long mStartedNanos;

    PeerMentions(PeerTable peers, GossipSchedule schedule) {
        mPeers = peers;
        mSchedule = schedule;
    }

    void onStart(long now) {
        mStartedNanos = now;
    }

    /** Chooses a few of the nodes heard from recently, by their names. */
    Map<String, PeerSeen> choose(long now) {
        boolean starting = now - mStartedNanos < STARTUP_NANOS;
        List<Peer> heard =
                mPeers.peers().stream()
                        .filter(
                                p ->
                                        mPeers.heardMillisAgo(p.name(), now).orElse(Long.MAX_VALUE)
                                                < MAX_MENTION_AGE_MILLIS)
                        .toList();
        return mSchedule
                .mentions(heard, starting ? MENTIONED_NODES_AT_START : MENTIONED_NODES)
                .stream()
                .collect(Collectors.toMap(Peer::name, StateMessageCodec::seen));
    }
}
