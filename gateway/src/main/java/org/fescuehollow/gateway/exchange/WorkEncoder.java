package org.fescuehollow.gateway.exchange;

import java.util.List;
import java.util.stream.Stream;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.exchange.PeerTable;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.residency.ResidencyTable;
import org.fescuehollow.wire.ExchangeProto.EngineWork;

/**
 * Encodes this node's work on engines, as much of it as each other node needs to know.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
final class WorkEncoder {
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final CatalogService mCatalog;
    private final PeerTable mPeers;

    WorkEncoder(
            Dispatcher dispatcher,
            ResidencyTable residency,
            CatalogService catalog,
            PeerTable peers) {
        mDispatcher = dispatcher;
        mResidency = residency;
        mCatalog = catalog;
        mPeers = peers;
    }

    /** Returns this node's work on all engines that it uses. */
    List<EngineWork> allWork() {
        return mCatalog.engines().stream()
                .map(Engine::id)
                .filter(e -> mDispatcher.ownWork(e).running() > 0)
                .map(this::work)
                .toList();
    }

    /** Returns this node's work on an engine. */
    EngineWork work(String engine) {
        return StateMessageCodec.work(
                engine, mDispatcher.ownWork(engine), mDispatcher.ownAdapters(engine));
    }

    /**
     * Returns the part of some work that another node needs to know.
     *
     * @param to the other node
     * @param work the work on one engine
     * @param toAll whether all nodes know all work, as in a small fleet, or only the engine's
     *     holder
     * @param now the monotonic time in nanoseconds
     * @return the work, or nothing
     */
    Stream<EngineWork> partFor(Peer to, EngineWork work, boolean toAll, long now) {
        if (!toAll) {
            return Stream.of(work).filter(w -> isHolder(to, w.getEngine(), now));
        }
        return Stream.of(
                mayClaim(to, work.getEngine()) ? work : StateMessageCodec.withoutAdapters(work));
    }

    private boolean isHolder(Peer node, String engine, long now) {
        return mResidency.holder(engine, now).filter(node.name()::equals).isPresent();
    }

    /** Only nodes that may claim an engine need to know which adapters are in use on it. */
    private boolean mayClaim(Peer node, String engine) {
        return mCatalog.engine(engine)
                .filter(e -> mPeers.claimants(engine, e.domain()).contains(node))
                .isPresent();
    }
}
