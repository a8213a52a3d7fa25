package org.fescuehollow.gateway.exchange;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.suspects.CrashSuspicion;
import org.fescuehollow.suspects.CrashTraits;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.TraitSuspicion;

/**
 * Tells the other nodes which traits of requests may crash engines, and learns it from them.
 *
 * <p>Invariant: a node that blocks a trait because it missed a refutation is sent the refutation by
 * each node that knows it. Not thread-safe; used on the node's event loop.
 */
public final class SuspicionExchange {
    /** Changes within this time are sent as one message. */
    private static final long SEND_DELAY_MILLIS = 10;

    /**
     * Suspicions in a full state message, which still fits into one packet with its other content.
     */
    private static final int MAX_IN_FULL_STATE = 16;

    private final NodeContext mContext;
    private final CrashTraits mTraits;
    private final Consumer<Consumer<NodeNews.Builder>> mSender;
    private final Set<Long> mChanged = new LinkedHashSet<>();
    private final Set<Long> mBlocked = new LinkedHashSet<>();
    private Runnable mBlockedListener = () -> {};

    /**
     * Creates the exchange.
     *
     * @param context the context of the node
     * @param traits the evidence, which other nodes' evidence is added to
     * @param sender sends a message with the given content to all live nodes
     */
    SuspicionExchange(
            NodeContext context, CrashTraits traits, Consumer<Consumer<NodeNews.Builder>> sender) {
        mContext = context;
        mTraits = traits;
        mSender = sender;
    }

    /**
     * Sets the action that runs when requests with another trait are blocked.
     *
     * @param listener the action
     */
    public void onBlocked(Runnable listener) {
        mBlockedListener = listener;
    }

    /** Adds the suspicions to a full state message. */
    void addTo(NodeNews.Builder message, long now) {
        mTraits.openSuspicions(MAX_IN_FULL_STATE)
                .forEach(s -> message.addSuspicions(StateMessageCodec.suspicion(s, now)));
    }

    /**
     * Handles evidence that this node has found, and tells the other nodes.
     *
     * @param changed the changed evidence
     */
    public void onFound(Collection<CrashSuspicion> changed) {
        send(changed.stream());
        logBlocked(changed);
    }

    /** Handles evidence of another node. */
    void onReceived(Collection<CrashSuspicion> received) {
        long now = mContext.clock().now();
        List<CrashSuspicion> changed =
                received.stream()
                        .map(s -> mTraits.merge(s, now))
                        .flatMap(Optional::stream)
                        .toList();
        send(
                received.stream()
                        .filter(
                                s ->
                                        mTraits.find(s.trait())
                                                .filter(k -> k.corrects(s))
                                                .isPresent()));
        logBlocked(changed);
    }

    private void send(Stream<CrashSuspicion> suspicions) {
        boolean scheduled = !mChanged.isEmpty();
        suspicions.map(CrashSuspicion::trait).forEach(mChanged::add);
        if (!scheduled && !mChanged.isEmpty()) {
            mContext.vertx().setTimer(SEND_DELAY_MILLIS, t -> sendChanged());
        }
    }

    private void sendChanged() {
        long now = mContext.clock().now();
        List<TraitSuspicion> suspicions =
                mChanged.stream()
                        .map(mTraits::find)
                        .flatMap(Optional::stream)
                        .map(s -> StateMessageCodec.suspicion(s, now))
                        .toList();
        mChanged.clear();
        mSender.accept(m -> m.addAllSuspicions(suspicions));
    }

    private void logBlocked(Collection<CrashSuspicion> changed) {
        long now = mContext.clock().now();
        boolean newlyBlocked = false;
        for (CrashSuspicion s : changed) {
            String trait = Long.toHexString(s.trait());
            if (!mTraits.isBlocked(s.trait(), now)) {
                if (mBlocked.remove(s.trait())) {
                    mContext.log().event("trait_cleared", "trait", trait);
                }
            } else if (mBlocked.add(s.trait())) {
                newlyBlocked = true;
                mContext.metrics().countEvent("trait_blocked");
                mContext.log().event("trait_blocked", "trait", trait, "crashes", s.open().size());
            }
        }
        if (newlyBlocked) {
            mBlockedListener.run();
        }
    }
}
