package org.fescuehollow.gateway.exchange;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.dispatch.EngineLoad;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.exchange.PeerTable;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.residency.ResidencyTable;
import org.fescuehollow.wire.ExchangeProto.EngineHolding;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/**
 * Takes the messages of other entry nodes into what this one believes.
 *
 * <p>Invariant: a whole message that is older than one already taken changes nothing. Used on the
 * node's loop.
 */
final class StateMessageHandler {
    private final NodeContext mContext;
    private final PeerTable mPeers;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final CatalogService mCatalog;
    private final OrderService mOrders;
    private final Map<String, Set<String>> mEnginesByHolder = new HashMap<>();

    StateMessageHandler(
            NodeContext context,
            PeerTable peers,
            Dispatcher dispatcher,
            ResidencyTable residency,
            CatalogService catalog,
            OrderService orders) {
        mContext = context;
        mPeers = peers;
        mDispatcher = dispatcher;
        mResidency = residency;
        mCatalog = catalog;
        mOrders = orders;
    }

    /**
     * Takes a message.
     *
     * @param news the message
     * @param tellsEveryone whether nodes tell each other all their work, as in a small fleet; else
     *     only the holder of an engine knows all of it
     */
    void apply(NodeNews news, boolean tellsEveryone) {
        long now = mContext.clock().now();
        String node = news.getNode();
        Peer peer = new Peer(node, news.getDomain(), news.getIp());
        String self = mContext.settings().node();
        Optional<Long> heardMe =
                news.getPeersList().stream()
                        .filter(p -> p.getNode().equals(self) && p.getHeardMsAgo() > 0)
                        .map(p -> (long) p.getHeardMsAgo())
                        .findFirst();
        if (news.getWhole()) {
            boolean fresh =
                    mPeers.onMessage(
                            peer,
                            news.getIncarnation(),
                            news.getSequence(),
                            news.getLeaving(),
                            heardMe,
                            now);
            if (!fresh) {
                return;
            }
            news.getPeersList()
                    .forEach(
                            p ->
                                    mPeers.onPeerMentioned(
                                            new Peer(p.getNode(), p.getDomain(), p.getIp()), now));
        }
        if (news.getNodes() > 0) {
            mPeers.onClusterSize(news.getNodes());
        }
        applyWork(news, now);
        applyHoldings(news, tellsEveryone, now);
        if (news.getLeaving()) {
            Optional.ofNullable(mEnginesByHolder.remove(node)).stream()
                    .flatMap(Set::stream)
                    .forEach(e -> mOrders.onRivalReleased(e));
        }
        news.getWantsList()
                .forEach(
                        w -> mOrders.requestAdapter(w.getEngine(), StateMessageCodec.want(w, now)));
    }

    private void applyWork(NodeNews news, long now) {
        Set<String> busy = new HashSet<>();
        news.getWorkList()
                .forEach(
                        w -> {
                            busy.add(w.getEngine());
                            Set<AdapterKey> adapters = StateMessageCodec.adapters(w);
                            mDispatcher.updatePeerWork(
                                    w.getEngine(),
                                    news.getNode(),
                                    StateMessageCodec.work(w),
                                    adapters,
                                    now);
                            mOrders.onAdaptersUsed(w.getEngine(), adapters);
                        });
        if (!news.getWhole()) {
            return;
        }
        mCatalog.engines().stream()
                .filter(e -> !busy.contains(e.id()))
                .forEach(
                        e ->
                                mDispatcher.updatePeerWork(
                                        e.id(),
                                        news.getNode(),
                                        EngineLoad.Work.NONE,
                                        Set.of(),
                                        now));
    }

    private void applyHoldings(NodeNews news, boolean tellsEveryone, long now) {
        Set<String> held = new HashSet<>();
        Set<AdapterKey> ready = new HashSet<>();
        for (EngineHolding h : news.getHoldingsList()) {
            held.add(h.getEngine());
            mOrders.onRivalHolds(h.getEngine(), news.getNode(), h.getFence());
            Holding holding = StateMessageCodec.holding(h);
            ready.addAll(holding.adapters().keySet());
            mResidency.onHolderUpdate(h.getEngine(), news.getNode(), holding, now);
            if (!tellsEveryone) {
                mDispatcher.updateFleetWork(
                        h.getEngine(), StateMessageCodec.work(h.getTotal()), now);
            }
        }
        if (news.getWhole()) {
            Set<String> before = mEnginesByHolder.getOrDefault(news.getNode(), Set.of());
            before.stream()
                    .filter(e -> !held.contains(e))
                    .forEach(e -> mResidency.onHolderReleased(e, news.getNode()));
            Set<String> known = news.getLeaving() ? before : held;
            mEnginesByHolder.put(news.getNode(), known);
        }
        if (!held.isEmpty()) {
            mOrders.onResidencyChanged(ready);
        }
    }
}
