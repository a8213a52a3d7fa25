package org.fescuehollow.gateway.exchange;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
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
import org.fescuehollow.suspects.CrashSuspicion;
import org.fescuehollow.wire.ExchangeProto.EngineHolding;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/**
 * Applies the messages of other entry nodes to this node's state.
 *
 * <p>Invariant: a full state message that is older than one already applied changes nothing. Not
 * thread-safe; used on the node's event loop.
 */
final class StateMessageHandler {
    private final NodeContext mContext;
    private final PeerTable mPeers;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final CatalogService mCatalog;
    private final OrderService mOrders;
    private final TopicExchanges mTopics;
    private final Map<String, Set<String>> mEnginesByHolder = new HashMap<>();

    StateMessageHandler(
            NodeContext context,
            PeerTable peers,
            Dispatcher dispatcher,
            ResidencyTable residency,
            CatalogService catalog,
            OrderService orders,
            TopicExchanges topics) {
        mContext = context;
        mPeers = peers;
        mDispatcher = dispatcher;
        mResidency = residency;
        mCatalog = catalog;
        mOrders = orders;
        mTopics = topics;
    }

    /**
     * Applies a message.
     *
     * @param message the message
     * @param sendsWorkToAll whether nodes send all their work to each other, as in a small fleet;
     *     otherwise only the holder of an engine knows all work on it
     */
    void apply(NodeNews message, boolean sendsWorkToAll) {
        mTopics.leases().onMessage(message, mOrders);
        mTopics.origins().onMessage(message);
        mTopics.engineReads().onMessage(message, mCatalog.versions());
        long now = mContext.clock().now();
        String node = message.getNode();
        Peer peer = new Peer(node, message.getDomain(), message.getIp());
        if (message.getWhole()) {
            boolean fresh =
                    mPeers.onMessage(
                            peer,
                            message.getIncarnation(),
                            message.getSequence(),
                            message.getLeaving(),
                            now);
            if (!fresh) {
                return;
            }
            message.getPeersList()
                    .forEach(
                            p ->
                                    mPeers.onPeerMentioned(
                                            new Peer(p.getNode(), p.getDomain(), p.getIp()), now));
        }
        if (message.getNodes() > 0) {
            mPeers.onClusterSize(message.getNodes());
        }
        applyWork(message, now);
        applyHoldings(message, sendsWorkToAll, now);
        if (message.getLeaving()) {
            mTopics.leases().onLeaving(node, message.getIncarnation());
            Optional.ofNullable(mEnginesByHolder.remove(node)).stream()
                    .flatMap(Set::stream)
                    .forEach(e -> mOrders.onRivalReleased(e));
        }
        message.getLeavingEnginesList()
                .forEach(e -> mCatalog.onEngineLeavingReported(e.getEngine(), e.getStartedMs()));
        List<CrashSuspicion> suspicions =
                message.getSuspicionsList().stream()
                        .map(s -> StateMessageCodec.suspicion(s, now))
                        .toList();
        mTopics.suspicions().onReceived(suspicions);
        mTopics.rates().onReceived(message.getRatesList(), mCatalog);
        message.getWantsList()
                .forEach(
                        w ->
                                mOrders.requestAdapter(
                                        w.getEngine(), StateMessageCodec.demand(w, now)));
    }

    private void applyWork(NodeNews message, long now) {
        Set<String> enginesWithWork = new HashSet<>();
        message.getWorkList()
                .forEach(
                        w -> {
                            enginesWithWork.add(w.getEngine());
                            Set<AdapterKey> adapters = StateMessageCodec.adapters(w);
                            mDispatcher.updatePeerWork(
                                    w.getEngine(),
                                    message.getNode(),
                                    StateMessageCodec.work(w),
                                    adapters,
                                    now);
                            mOrders.onAdaptersUsed(w.getEngine(), adapters);
                        });
        if (!message.getWhole()) {
            return;
        }
        mCatalog.engines().stream()
                .filter(e -> !enginesWithWork.contains(e.id()))
                .forEach(
                        e ->
                                mDispatcher.updatePeerWork(
                                        e.id(),
                                        message.getNode(),
                                        EngineLoad.Work.NONE,
                                        Set.of(),
                                        now));
    }

    private void applyHoldings(NodeNews message, boolean sendsWorkToAll, long now) {
        Set<String> held = new HashSet<>();
        Set<AdapterKey> loaded = new HashSet<>();
        for (EngineHolding h : message.getHoldingsList()) {
            held.add(h.getEngine());
            mOrders.onRivalHolds(h.getEngine(), message.getNode(), h.getFence());
            Holding holding = StateMessageCodec.holding(h);
            loaded.addAll(holding.adapters().keySet());
            mResidency.onHolderUpdate(h.getEngine(), message.getNode(), holding, now);
            if (!sendsWorkToAll) {
                mDispatcher.updateFleetWork(
                        h.getEngine(), StateMessageCodec.work(h.getTotal()), now);
            }
        }
        if (message.getWhole()) {
            Set<String> before = mEnginesByHolder.getOrDefault(message.getNode(), Set.of());
            before.stream()
                    .filter(e -> !held.contains(e))
                    .forEach(e -> mResidency.onHolderReleased(e, message.getNode()));
            Set<String> rivalEngines = message.getLeaving() ? before : held;
            mEnginesByHolder.put(message.getNode(), rivalEngines);
        }
        if (!held.isEmpty()) {
            mOrders.onResidencyChanged(loaded);
        }
    }
}
