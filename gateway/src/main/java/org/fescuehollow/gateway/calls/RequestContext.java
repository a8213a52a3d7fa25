package org.fescuehollow.gateway.calls;

import io.vertx.core.Future;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.fescuehollow.admission.ByteBudget;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.dispatch.EngineInactivityDetector;
import org.fescuehollow.dispatch.QueueTimeout;
import org.fescuehollow.dispatch.WaitQueue;
import org.fescuehollow.dispatch.WindowedRetryBudget;
import org.fescuehollow.drain.DrainSchedule;
import org.fescuehollow.drain.ResponseTimes;
import org.fescuehollow.gateway.exchange.ExchangeService;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.platform.ResponseHead;
import org.fescuehollow.residency.AdapterDemand;
import org.fescuehollow.residency.ResidencyTable;
import org.fescuehollow.streams.EventIdSteps;
import org.fescuehollow.streams.EventStreamReader;

/** The state that all requests of a node share. Not thread-safe; used on the node's event loop. */
final class RequestContext {
    /**
     * Time between two checks for silent engines; a fraction of the shortest silence that is
     * detected.
     */
    static final long SILENCE_CHECK_MILLIS = 100;

    /** Other nodes can take a request at once that this one refuses as it stops. */
    private static final double DRAINING_RETRY_AFTER_SECONDS = 0.05;

    /** About a sixth of the heap of a small VM. */
    private static final long MAX_HELD_RESPONSE_BYTES = 16 * 1024 * 1024;

    private final NodeContext mNode;
    private final CatalogService mCatalog;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final OrderService mOrders;
    private final ExchangeService mExchange;
    private final CrashGuard mCrashGuard;
    private final StreamVersions mStreamVersions;
    private final Set<ProxiedRequest> mSent = new LinkedHashSet<>();
    private final WaitQueue<ProxiedRequest> mWaitQueue =
            new WaitQueue<>(ProxiedRequest::dispatchRequest);
    private final Map<String, WindowedRetryBudget> mRetryBudgets = new HashMap<>();
    private final EngineInactivityDetector mInactivityDetector;
    private final Map<EngineInactivityDetector.Stream, Attempt> mStreams = new HashMap<>();
    private final Set<HttpConnection> mUsedConnections =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private final Map<String, EventIdSteps> mEventIdSteps = new HashMap<>();
    private final ByteBudget mResponseBytes = new ByteBudget(MAX_HELD_RESPONSE_BYTES);
    private final CoalescedTask mDispatch;
    private final Set<ProxiedRequest> mOpen = new LinkedHashSet<>();
    private final ResponseTimes mResponseTimes = new ResponseTimes();
    private Optional<DrainSchedule> mDrainSchedule = Optional.empty();
    private final ClientConnections mConnections = new ClientConnections();
    private int mUnflushedResponses;
    private boolean mClosed;

    RequestContext(
            NodeContext node,
            CatalogService catalog,
            Dispatcher dispatcher,
            ResidencyTable residency,
            OrderService orders,
            ExchangeService exchange,
            CrashGuard crashGuard,
            StreamVersions streamVersions) {
        mNode = node;
        mCatalog = catalog;
        mDispatcher = dispatcher;
        mResidency = residency;
        mOrders = orders;
        mExchange = exchange;
        mCrashGuard = crashGuard;
        mStreamVersions = streamVersions;
        mInactivityDetector =
                new EngineInactivityDetector(
                        Duration.ofMillis(SILENCE_CHECK_MILLIS), node.clock().now());
        mDispatch =
                new CoalescedTask(
                        task -> node.vertx().runOnContext(v -> task.run()),
                        () -> mWaitQueue.removeAccepted(RequestContext::tryPlace, now()));
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

    CrashGuard crashGuard() {
        return mCrashGuard;
    }

    StreamVersions streamVersions() {
        return mStreamVersions;
    }

    /** Tells other nodes the software versions of open streams that they can't work out now. */
    void tellAmbiguousVersions() {
        mOpen.forEach(r -> r.version().tellIfAmbiguous(r.dispatchRequest()));
    }

    /** Records that a request is at an engine, until {@link #onLeftEngine}. */
    void onSentToEngine(ProxiedRequest request, Engine engine, long now) {
        mDispatcher.onSent(engine.id(), request.dispatchRequest(), now);
        publishWork(request.dispatchRequest(), engine);
        mSent.add(request);
    }

    void onLeftEngine(ProxiedRequest request, Engine engine) {
        mSent.remove(request);
        mDispatcher.onEnded(engine.id(), request.dispatchRequest());
        publishWork(request.dispatchRequest(), engine);
    }

    /** Abandons the requests at engines that have become blocked. */
    void abandonBlocked() {
        List.copyOf(mSent).forEach(r -> r.guard().run(r::abandonIfBlocked));
        dispatchWaiting();
    }

    WaitQueue<ProxiedRequest> waitQueue() {
        return mWaitQueue;
    }

    long now() {
        return mNode.clock().now();
    }

    private WindowedRetryBudget retryBudget(String service) {
        NodeSettings settings = mNode.settings();
        return mRetryBudgets.computeIfAbsent(
                service,
                k ->
                        new WindowedRetryBudget(
                                settings.retryRatio(),
                                settings.retrySlack(),
                                (long) (settings.retryWindowSeconds() * 1e9)));
    }

    /** Returns a reader for the events of a request, which may be a resumed one. */
    EventStreamReader newEventReader(Route route, RequestHead head, String service) {
        return new EventStreamReader(
                route.isRetryable() ? head.lastEventId() : "",
                ResponseHead.EVENT_HEAD_FIELD,
                mEventIdSteps.computeIfAbsent(service, s -> new EventIdSteps()));
    }

    /** Returns the budget for the bytes of incomplete responses and events. */
    ByteBudget responseBytes() {
        return mResponseBytes;
    }

    void countRequest(String service) {
        retryBudget(service).onRequest(now());
    }

    boolean tryRetry(String service) {
        return retryBudget(service).tryRetry(mExchange.peers().size(), now());
    }

    /** Monitors the stream of an attempt for silence until it is closed. */
    EngineInactivityDetector.Stream watchStream(Attempt attempt, Route route) {
        EngineInactivityDetector.Stream stream =
                mInactivityDetector.openStream(
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

    /**
     * Notifies the attempts whose engines are silent, so that their streams can be resumed
     * elsewhere.
     */
    void checkSilentStreams() {
        if (mStreamVersions.hasBecomeStale()) {
            tellAmbiguousVersions();
        }
        mInactivityDetector.pollInactive(now()).stream()
                .flatMap(s -> Stream.ofNullable(mStreams.get(s)))
                .toList()
                .forEach(Attempt::onSilence);
    }

    /**
     * Records that a request is sent on a connection to an engine; returns whether another one was
     * sent on it before.
     */
    boolean recordUse(HttpConnection connection) {
        boolean first = mUsedConnections.add(connection);
        if (first) {
            connection.closeHandler(v -> mUsedConnections.remove(connection));
        }
        return !first;
    }

    /** Records what an engine says of itself in a response. */
    void onResponseOf(Engine engine, ResponseHead head) {
        mExchange.rates().onResponse(engine, head.requestsPerSecond());
        head.retryAfter().ifPresent(t -> pause(engine, t));
        if (head.leaving()) {
            mCatalog.onEngineSaidLeaving(engine);
        }
    }

    private void pause(Engine engine, Duration time) {
        mDispatcher.health(engine.id()).ifPresent(h -> h.onPauseWanted(time, now()));
        mNode.metrics().countEvent("engine_pause");
        mNode.log().event("engine_pause", "engine", engine.id(), "ms", time.toMillis());
    }

    private static boolean tryPlace(ProxiedRequest request) {
        return request.guard().test(request::place);
    }

    /** Tries to place all waiting requests soon, in queue order. */
    void dispatchWaiting() {
        if (mWaitQueue.size() > 0) {
            mDispatch.trigger();
        }
    }

    /**
     * Tries to place the requests that wait for one of the adapters, which were just loaded on an
     * engine.
     */
    void dispatchWaiting(Set<AdapterKey> loaded) {
        if (mWaitQueue.size() > 0) {
            mWaitQueue.removeAccepted(
                    r -> loaded.contains(r.dispatchRequest().adapter()),
                    RequestContext::tryPlace,
                    now());
        }
    }

    void onRequestStarted(ProxiedRequest request) {
        mOpen.add(request);
    }

    /** Records that a request has ended; called once for each. */
    void onRequestEnded(ProxiedRequest request) {
        if (request.response().isCompleteSuccess()) {
            mResponseTimes.record(
                    request.route().name(), now() - request.dispatchRequest().arrivalNanos());
        }
        mOpen.remove(request);
        mSent.remove(request);
        mWaitQueue.remove(request);
    }

    /** Requests the adapter of a waiting request on an engine. */
    void requestAdapter(DispatchRequest request, String engine) {
        AdapterDemand demand =
                new AdapterDemand(
                        request.adapter(),
                        request.minVersion(),
                        request.rank(),
                        QueueTimeout.expiryNanos(request));
        mOrders.requestAdapter(engine, demand);
    }

    /** Publishes this node's work on an engine, which a request has changed. */
    void publishWork(DispatchRequest request, Engine engine) {
        if (request.needsModelEngine()) {
            mOrders.onWorkChanged(engine.id());
        }
    }

    int openRequests() {
        return mOpen.size();
    }

    /** Sends final answers to all open requests whose responses have not begun. */
    void sendFinalAnswers() {
        mOpen.stream()
                .filter(r -> !r.response().hasStarted())
                .toList()
                .forEach(r -> r.endNow("FINAL_ANSWERS"));
    }

    /** Ends all open requests; responses that have begun are cut. */
    void endAll() {
        List.copyOf(mOpen).forEach(r -> r.endNow("EXIT"));
    }

    /** Returns the connections of clients. */
    ClientConnections connections() {
        return mConnections;
    }

    /** Records that the last bytes of a response are being written, until the future completes. */
    void onResponseEnding(Future<Void> written) {
        mUnflushedResponses++;
        written.onComplete(r -> mUnflushedResponses--);
    }

    /** Returns whether all responses that have ended were written to their connections. */
    boolean isFlushed() {
        return mUnflushedResponses == 0;
    }

    /**
     * Returns whether a request may be sent to an engine, as far as a planned stop is concerned.
     */
    boolean maySend(DispatchRequest request, Route route) {
        return mDrainSchedule
                .map(d -> d.maySend(request, route, mResponseTimes.usualNanos(route.name()), now()))
                .orElse(true);
    }

    /** Returns whether a request that an engine had begun may be sent to another one. */
    boolean mayGoOn() {
        return mDrainSchedule.map(d -> d.mayGoOn(now())).orElse(true);
    }

    /** Returns when the client of a rejected request should retry, in seconds. */
    double retryAfterSeconds(DispatchRequest request) {
        double seconds = QueueTimeout.retryAfterSeconds(request, now());
        return isDraining() ? Math.min(DRAINING_RETRY_AFTER_SECONDS, seconds) : seconds;
    }

    void startDraining(DrainSchedule schedule) {
        mDrainSchedule = Optional.of(schedule);
    }

    boolean isDraining() {
        return mDrainSchedule.isPresent();
    }

    /** Rejects all further requests. */
    void close() {
        mClosed = true;
    }

    boolean isClosed() {
        return mClosed;
    }
}
