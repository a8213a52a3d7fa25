package org.fescuehollow.gateway.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.exchange.PeerTable;
import org.fescuehollow.gateway.node.NodeContext;

/**
 * The peers that were heard lately, as of the last period.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
final class LivePeers {
    private final NodeContext mContext;
    private final PeerTable mPeers;
    private final Set<String> mNames = new HashSet<>();

    LivePeers(NodeContext context, PeerTable peers) {
        mContext = context;
        mPeers = peers;
    }

    /** Logs which peers were lost or regained since the last call. */
    void update(long now) {
        for (Peer p : mPeers.peers()) {
            boolean live = mPeers.isLive(p.name(), now);
            if (live && mNames.add(p.name())) {
                mContext.log().event("node_regained", "node", p.name());
            } else if (!live && mNames.remove(p.name())) {
                mContext.log()
                        .event(
                                "node_lost",
                                "node",
                                p.name(),
                                "silent_ms",
                                mPeers.heardMillisAgo(p.name(), now).orElse(-1L));
            }
        }
    }

    /** Returns the live peers. */
    List<Peer> peers() {
        return mPeers.peers().stream().filter(p -> mNames.contains(p.name())).toList();
    }

    /** Returns the live peers that aren't leaving. */
    List<Peer> remaining() {
        return peers().stream().filter(p -> !mPeers.isLeaving(p.name())).toList();
    }

    /** Returns the names of the live peers. */
    Set<String> names() {
        return Set.copyOf(mNames);
    }
}
