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
final class CallContext {
    /** Between looks for silent engines; a part of the shortest pause that counts. */
    static final long SILENCE_MILLIS = 100;

    private final NodeContext mNode;
    private final CatalogService mCatalog;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final OrderService mOrders;
    private final ExchangeService mExchange;
    private final WaitQueue<CallFlow> mQueue = new WaitQueue<>(CallFlow::needs);
    private final Map<String, WindowedRetryBudget> mRetries = new HashMap<>();
    private final EngineInactivityDetector mSilence;
    private final Map<EngineInactivityDetector.Stream, Attempt> mStreams = new HashMap<>();
    private int mOpen;
    private boolean mLeaving;
    private boolean mClosed;

    CallContext(
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
                new EngineInactivityDetector(Duration.ofMillis(SILENCE_MILLIS), node.clock().now());
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

    WaitQueue<CallFlow> queue() {
        return mQueue;
    }

    long now() {
        return mNode.clock().now();
    }

    private WindowedRetryBudget retries(String service) {
        NodeSettings s = mNode.settings();
        return mRetries.computeIfAbsent(
                service,
                k ->
                        new WindowedRetryBudget(
                                s.retryRatio(),
                                s.retrySlack(),
                                (long) (s.retryWindowSeconds() * 1e9)));
    }

    void countRequest(String service) {
        retries(service).onRequest(now());
    }

    boolean tryRepeat(String service) {
        return retries(service).tryRetry(mExchange.peers().size(), now());
    }

    /** Watches the stream of an attempt until it is closed. */
    EngineInactivityDetector.Stream watch(Attempt attempt, Route route) {
        EngineInactivityDetector.Stream stream =
                mSilence.openStream(
                        attempt.engine().id(),
                        Duration.ofMillis(route.maxPauseMillis()),
                        Duration.ofMillis(route.objectiveMillis()));
        mStreams.put(stream, attempt);
        return stream;
    }

    void close(EngineInactivityDetector.Stream stream) {
        stream.close();
        mStreams.remove(stream);
    }

    /** Lets streams whose engines have fallen silent go on elsewhere. */
    void checkSilence() {
        mSilence.pollInactive(now()).stream()
                .map(mStreams::get)
                .toList()
                .forEach(Attempt::fellSilent);
    }

    /** Offers waiting requests to the engines, in order. */
    void offerWaiting() {
        if (mQueue.size() > 0) {
            mQueue.removeAccepted(CallFlow::tryPlace, now());
        }
    }

    /** Offers the requests that wait for one of some adapters, now ready somewhere. */
    void offerWaiting(Set<AdapterKey> ready) {
        if (mQueue.size() > 0) {
            mQueue.removeAccepted(
                    c -> ready.contains(c.needs().adapter()), CallFlow::tryPlace, now());
        }
    }

    void opened() {
        mOpen++;
    }

    void closed() {
        mOpen--;
    }

    int open() {
        return mOpen;
    }

    void leave() {
        mLeaving = true;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /** Takes no more requests. */
    void close() {
        mClosed = true;
    }

    boolean isClosed() {
        return mClosed;
    }
}
