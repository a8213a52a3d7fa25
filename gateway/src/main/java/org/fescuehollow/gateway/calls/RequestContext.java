package org.fescuehollow.gateway.calls;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.dispatch.EngineInactivityDetector;
import org.fescuehollow.dispatch.WaitQueue;
import org.fescuehollow.dispatch.WindowedRetryBudget;
import org.fescuehollow.gateway.exchange.ExchangeService;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.residency.ResidencyTable;

/** What all requests of a node share. Used on the node's loop. */
final class RequestContext {
    /** Between looks for silent engines; a part of the shortest pause that counts. */
    static final long SILENCE_CHECK_MILLIS = 100;

    private final NodeContext mNode;
    private final CatalogService mCatalog;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final OrderService mOrders;
    private final ExchangeService mExchange;
    private final WaitQueue<ProxiedRequest> mWaitQueue = new WaitQueue<>(ProxiedRequest::needs);
    private final Map<String, WindowedRetryBudget> mRetryWindows = new HashMap<>();
    private final EngineInactivityDetector mSilence;
    private final Map<EngineInactivityDetector.Stream, Attempt> mStreams = new HashMap<>();
    private int mOpenRequests;
    private boolean mDraining;
    private boolean mClosed;

    RequestContext(
            NodeContext node,
            CatalogService catalog,
            Dispatcher dispatcher,
            ResidencyTable residency,
            OrderService orders,
            ExchangeService exchange) {
        mNode = node;
        mCatalog = catalog;
        mDispatcher = dispatcher;
        mResidency = residency;
        mOrders = orders;
        mExchange = exchange;
        mSilence =
                new EngineInactivityDetector(
                        Duration.ofMillis(SILENCE_CHECK_MILLIS), node.clock().now());
    }

    NodeContext node() {
        return mNode;
    }

    CatalogService catalog() {
        return mCatalog;
    }

    Dispatcher dispatcher() {
        return mDispatcher;
    }

    ResidencyTable residency() {
        return mResidency;
    }

    OrderService orders() {
        return mOrders;
    }

    WaitQueue<ProxiedRequest> waitQueue() {
        return mWaitQueue;
    }

    long now() {
        return mNode.clock().now();
    }

    private WindowedRetryBudget retryWindow(String service) {
        NodeSettings s = mNode.settings();
        return mRetryWindows.computeIfAbsent(
                service,
                k ->
                        new WindowedRetryBudget(
                                s.retryRatio(),
                                s.retrySlack(),
                                (long) (s.retryWindowSeconds() * 1e9)));
    }

    void countRequest(String service) {
        retryWindow(service).onRequest(now());
    }

    boolean tryRetry(String service) {
        return retryWindow(service).tryRetry(mExchange.peers().size(), now());
    }

    /** Watches the stream of an attempt until it is closed. */
    EngineInactivityDetector.Stream watchStream(Attempt attempt, Route route) {
        EngineInactivityDetector.Stream stream =
                mSilence.openStream(
                        attempt.engine().id(),
                        Duration.ofMillis(route.maxPauseMillis()),
                        Duration.ofMillis(route.objectiveMillis()));
        mStreams.put(stream, attempt);
        return stream;
    }

    void closeStream(EngineInactivityDetector.Stream stream) {
        stream.close();
        mStreams.remove(stream);
    }

    /** Lets streams whose engines have fallen silent go on elsewhere. */
    void checkSilentStreams() {
        mSilence.pollInactive(now()).stream()
                .map(mStreams::get)
                .toList()
                .forEach(Attempt::onSilence);
    }

    /** Offers waiting requests to the engines, in order. */
    void dispatchWaiting() {
        if (mWaitQueue.size() > 0) {
            mWaitQueue.removeAccepted(ProxiedRequest::tryPlace, now());
        }
    }

    /** Offers the requests that wait for one of some adapters, now ready somewhere. */
    void dispatchWaiting(Set<AdapterKey> ready) {
        if (mWaitQueue.size() > 0) {
            mWaitQueue.removeAccepted(
                    c -> ready.contains(c.needs().adapter()), ProxiedRequest::tryPlace, now());
        }
    }

    void onRequestStarted() {
        mOpenRequests++;
    }

    void onRequestEnded() {
        mOpenRequests--;
    }

    int openRequests() {
        return mOpenRequests;
    }

    void startDraining() {
        mDraining = true;
    }

    boolean isDraining() {
        return mDraining;
    }

    /** Takes no more requests. */
    void close() {
        mClosed = true;
    }

    boolean isClosed() {
        return mClosed;
    }
}
