package org.fescuehollow.gateway.exchange;

import java.time.Duration;
import java.util.function.BiConsumer;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.versions.VersionRegistry;
import org.fescuehollow.wire.ExchangeProto.EnginesRead;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/**
 * Lets a node that doesn't reach the store learn from others whether its entries of engines are
 * still those that the others read.
 *
 * <p>Such a node asks with its state messages; nodes that have read the store lately answer some of
 * them. While all nodes reach the store, nothing is said. Not thread-safe; used on the node's event
 * loop.
 */
final class EngineReadExchange {
    /** One in so many questions is answered, as a node asks several others in each period. */
    private static final int QUESTIONS_PER_ANSWER = 4;

    private final NodeContext mContext;
    private final long mIncarnation;
    private final BiConsumer<NodeNews.Builder, String> mSender;

    /**
     * Creates the exchange.
     *
     * @param context the context of the node
     * @param incarnation the incarnation of this node
     * @param sender sends a message to an IP address
     */
    EngineReadExchange(
            NodeContext context, long incarnation, BiConsumer<NodeNews.Builder, String> sender) {
        mContext = context;
        mIncarnation = incarnation;
        mSender = sender;
    }

    /** Adds the question to a state message if this node has to ask. */
    NodeNews.Builder addTo(NodeNews.Builder message, VersionRegistry versions) {
        long now = mContext.clock().now();
        return versions.isStale(now) ? message.setEnginesAsked(now) : message;
    }

    /** Handles a message of another node, which may hold a question, an answer or neither. */
    void onMessage(NodeNews message, VersionRegistry versions) {
        long now = mContext.clock().now();
        versions.onPeerHeard(now);
        boolean asks = message.getEnginesAsked() != 0;
        if (asks && message.getSequence() % QUESTIONS_PER_ANSWER == 0 && !versions.isStale(now)) {
            answer(message, versions, now);
        }
        EnginesRead read = message.getEnginesRead();
        if (message.hasEnginesRead() && read.getIncarnation() == mIncarnation) {
            // The answer was sent after the question, however long it took.
            long earliest =
                    read.getAsked() - Duration.ofMillis(unsigned(read.getMsAgo())).toNanos();
            versions.onPeerRead(read.getFingerprint(), Math.min(earliest, now));
        }
    }

    private void answer(NodeNews message, VersionRegistry versions, long now) {
        long millisAgo = Duration.ofNanos(now - versions.lastReadNanos()).toMillis() + 1;
        EnginesRead.Builder read =
                EnginesRead.newBuilder()
                        .setAsked(message.getEnginesAsked())
                        .setIncarnation(message.getIncarnation())
                        .setFingerprint(versions.fingerprint())
                        .setMsAgo((int) Math.max(0, millisAgo));
        mSender.accept(NodeNews.newBuilder().setEnginesRead(read), message.getIp());
    }

    private static long unsigned(int millis) {
        return Integer.toUnsignedLong(millis);
    }
}
