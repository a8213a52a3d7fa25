package org.fescuehollow.gateway.orders;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.catalog.EngineState;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.exchange.PeerTable;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.platform.EngineClient;
import org.fescuehollow.platform.OrderRequest;
import org.fescuehollow.residency.AdapterDemand;
import org.fescuehollow.residency.AdapterOrder;
import org.fescuehollow.residency.AdapterScheduler;
import org.fescuehollow.residency.EngineLease;
import org.fescuehollow.residency.FencingNumberGenerator;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.residency.OrderReply;

/**
 * Sends the orders to one engine, as {@link EngineLease} and {@link AdapterScheduler} decide.
 *
 * <p>Invariant: at most one order is in flight, and none is sent without the lease. Not
 * thread-safe; used on the node's event loop.
 */
final class EngineController {
    /** Time between two report requests, as the platform charges each one as a probe. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();

    /** Time between two status queries of an order. */
    private static final long STATUS_POLL_MILLIS = 16;

    /** Time without orders after an unanswered one, as the engine may be restarting. */
    private static final long UNANSWERED_PAUSE_NANOS = Duration.ofMillis(150).toNanos();

    /** Consecutive unanswered orders that end the lease, as the engine is likely to restart. */
    private static final int MAX_UNANSWERED_ORDERS = 6;

    private final NodeContext mContext;
    private final EngineClient mClient;
    private final Dispatcher mDispatcher;
    private final PeerTable mPeers;
    private final OrderService mService;
    private final EngineSpec mSpec;
    private final EngineLease mLease;
    private final FencingNumberGenerator mFence;
    private final LeaseApplicant mApplicant;
    private final OrderLog mLog;
    private final OrderCountCheck mCountCheck = new OrderCountCheck();
    private Engine mEngine;
    private Optional<AdapterScheduler> mScheduler = Optional.empty();
    private Optional<EngineState> mLastReport = Optional.empty();
    private long mLastReportRequestNanos;
    private boolean mInFlight;
    private int mUnansweredOrders;
    private long mNextOrderNanos = Long.MIN_VALUE;

    EngineController(
            NodeContext context,
            EngineClient client,
            Dispatcher dispatcher,
            PeerTable peers,
            Engine engine,
            EngineSpec spec,
            OrderService service) {
        mContext = context;
        mClient = client;
        mDispatcher = dispatcher;
        mPeers = peers;
        mEngine = engine;
        mSpec = spec;
        mService = service;
        mLog = new OrderLog(context);
        mFence = new FencingNumberGenerator(context.settings().node());
        mApplicant = new LeaseApplicant(context, service, engine.id(), mFence);
        mLease = new EngineLease(context.settings().leaseMillis(), context.clock().now());
        if (service.mayHaveBeenHeld(engine.id(), context.clock().now())) {
            mLease.onMayBeKnown();
        }
    }

    void tick(Engine engine, long now) {
        if (!engine.isSameIncarnation(mEngine)) {
            onEngineRestarted(engine, now);
        }
        mEngine = engine;
        if (mLease.isHeld()) {
            tickAsHolder(now);
        } else {
            tickAsObserver(now);
        }
    }

    private void onEngineRestarted(Engine engine, long now) {
        mContext.log().event("engine_restarted", "id", engine.id(), "holding", isHolding());
        mLease.onEngineRestarted(now);
        mLastReport = Optional.empty();
        if (mLease.isHeld()) {
            mScheduler =
                    Optional.of(
                            SchedulerFactory.create(
                                    mSpec, mEngine.id(), SchedulerFactory.emptyState(engine)));
            mService.onHoldingChanged(engine.id(), holding().orElseThrow());
        }
    }

    private void tickAsHolder(long now) {
        boolean mayOrder = checkMayOrder(now);
        if (!mLease.isHeld()) {
            return;
        }
        mService.refreshHolding(mEngine.id(), holding().orElseThrow(), now);
        mScheduler.orElseThrow().sampleUsage(a -> isInUse(a, now), now);
        if (mayOrder) {
            sendNextOrder();
        }
        if (mLease.needsOrderCount()
                && !mInFlight
                && now - mLastReportRequestNanos >= REPORT_INTERVAL_NANOS) {
            requestOrderCount(now);
        }
    }

    private boolean checkMayOrder(long now) {
        boolean held = mLease.isHeld();
        boolean may = mLease.mayOrder(mApplicant.majorityNanos(), now);
        if (held && !mLease.isHeld()) {
            onLeaseLost("unseen");
        }
        return may;
    }

    private void requestOrderCount(long now) {
        mLastReportRequestNanos = now;
        int sent = mCountCheck.ordersSent();
        mClient.fetchReport(mEngine)
                .onSuccess(s -> onOrderCount(s.orderCount(), sent))
                .onFailure(this::onReportFailed);
    }

    private void onOrderCount(long count, int sentAtRequest) {
        if (!mCountCheck.onReport(sentAtRequest)) {
            return;
        }
        boolean held = mLease.isHeld();
        mLease.onOrderCountVerified(count, mContext.clock().now());
        if (held && !mLease.isHeld()) {
            onLeaseLost("count " + count);
        }
    }

    private void tickAsObserver(long now) {
        Optional<String> rival = mService.rivalHolder(mEngine.id(), now);
        if (rival.isPresent()) {
            mLease.onRivalHeard(now);
        }
        if (rival.isPresent() || !mPeers.mayClaim(mEngine.id(), mEngine.domain())) {
            mApplicant.tick(false, rank(), now);
            return;
        }
        if (now - mLastReportRequestNanos >= REPORT_INTERVAL_NANOS) {
            mLastReportRequestNanos = now;
            mClient.fetchReport(mEngine).onSuccess(this::onReport).onFailure(this::onReportFailed);
        }
        mApplicant.tick(mayClaim(now), rank(), now);
    }

    private int rank() {
        return mPeers.rank(mEngine.id(), mEngine.domain());
    }

    private boolean mayClaim(long now) {
        return mService.isSettled(now)
                && mService.hasFullView()
                && mLastReport.isPresent()
                && mPeers.mayClaim(mEngine.id(), mEngine.domain())
                && mService.rivalHolder(mEngine.id(), now).isEmpty()
                && mLease.mayClaim(rank(), now);
    }

    boolean isAsking() {
        return !mLease.isHeld() && mApplicant.isAsking();
    }

    /** Returns the fencing number to ask the witnesses with. */
    long fence() {
        return mLease.isHeld() ? mFence.highest() : mApplicant.fence();
    }

    void onLeaseGranted(String witness, long askedNanos, long fence) {
        long now = mContext.clock().now();
        if (mLease.isHeld()) {
            mApplicant.onExtended(witness, askedNanos);
        }
        if (!isAsking() || !mApplicant.onGranted(witness, askedNanos, fence)) {
            return;
        }
        long votes = mApplicant.majorityNanos();
        if (now - votes <= mLease.maxVoteAgeNanos() && mayClaim(now)) {
            claim(rank(), now);
        }
    }

    private void onReport(EngineState state) {
        long now = mContext.clock().now();
        boolean sameIncarnation =
                mEngine.startedMillis() == 0 || state.startedMillis() == mEngine.startedMillis();
        if (sameIncarnation && !mLease.isHeld()) {
            mLease.onOrderCount(state.orderCount(), now);
            mLastReport = Optional.of(state);
        }
    }

    private void onReportFailed(Throwable cause) {
        mLog.logReportFailed(mEngine.id(), cause);
        mLastReport = Optional.empty();
    }

    private void claim(int rank, long now) {
        EngineState state = mLastReport.orElseThrow();
        mApplicant.onClaimed();
        mLease.claim(now);
        mScheduler = Optional.of(SchedulerFactory.create(mSpec, mEngine.id(), state));
        long fence = mFence.highest();
        mLog.logClaimed(mEngine.id(), rank, state.orderCount(), fence);
        mService.onHoldingChanged(mEngine.id(), holding().orElseThrow());
    }

    void onRivalHolds(String node, long fence, long now) {
        if (mLease.isHeld() && fence > mFence.highest()) {
            giveUp("rival " + node);
        } else if (mLease.isHeld()) {
            mLease.onConflict();
        }
        if (!mLease.isHeld()) {
            mFence.observe(fence);
            mLease.onRivalHeard(now);
        }
    }

    void onRivalReleased(long now) {
        if (!mLease.isHeld()) {
            mLease.onRivalReleased(now);
        }
    }

    void giveUp(String cause) {
        boolean held = mLease.isHeld();
        mLease.abandon(mContext.clock().now());
        if (held) {
            onLeaseLost(cause);
        }
    }

    /** Drops the holder's state, which may be outdated when this node gets the lease again. */
    private void onLeaseLost(String cause) {
        mScheduler = Optional.empty();
        mLastReport = Optional.empty();
        mApplicant.onLost(mContext.clock().now());
        mService.onEngineLost(mEngine.id());
        mContext.metrics().countEvent("reign_lost");
        mContext.log().event("reign_lost", "engine", mEngine.id(), "cause", cause);
    }

    void requestAdapter(AdapterDemand demand, long now) {
        mScheduler.ifPresent(s -> s.addDemand(demand, now));
        sendNextOrder();
    }

    void onAdaptersUsed(Set<AdapterKey> adapters, long now) {
        mScheduler.ifPresent(s -> adapters.forEach(a -> s.recordUse(a, now)));
    }

    boolean isHolding() {
        return mLease.isHeld();
    }

    Optional<Holding> holding() {
        return mScheduler.filter(s -> isHolding()).map(this::holding);
    }

    private Holding holding(AdapterScheduler scheduler) {
        Set<AdapterKey> loading = scheduler.loadingAdapters();
        int inTransit = mService.countStoreLoads(mEngine.id(), loading);
        long now = mContext.clock().now();
        int spare = scheduler.spareSlots(a -> isInUse(a, now), now);
        return new Holding(mFence.highest(), scheduler.loadedAdapters(), loading, inTransit, spare);
    }

    /** Handles a change of the adapters that are in use. */
    void onWorkChanged() {
        if (mScheduler.filter(s -> s.demandCount() > 0).isPresent()) {
            sendNextOrder();
        }
    }

    /** Sends the next order if one is due and none is in flight. */
    private void sendNextOrder() {
        long now = mContext.clock().now();
        if (mInFlight || now < mNextOrderNanos || mScheduler.isEmpty() || !checkMayOrder(now)) {
            return;
        }
        AdapterScheduler scheduler = mScheduler.orElseThrow();
        onAdaptersUsed(mDispatcher.ownAdapters(mEngine.id()), now);
        Optional<AdapterOrder> order =
                scheduler.nextOrder(
                        a -> isInUse(a, now),
                        a -> mService.mayLoad(mEngine.id(), a, now),
                        a -> mService.minLoadNanos(mEngine.id(), a),
                        now);
        order = order.filter(o -> !o.statusQuery() || mLease.mayQueryStatus(now));
        if (order.isEmpty() && mLease.needsCountedOrder(now)) {
            order = scheduler.reloadOrder(a -> isInUse(a, now), now);
        }
        order.ifPresent(o -> sendOrder(o, now));
    }

    private boolean isInUse(AdapterKey adapter, long now) {
        return mDispatcher.isInUse(mEngine.id(), adapter, now);
    }

    private void sendOrder(AdapterOrder order, long now) {
        mInFlight = true;
        mCountCheck.onOrderSent();
        OrderRequest request =
                new OrderRequest(
                        mEngine.id(),
                        mEngine.host(),
                        mEngine.port(),
                        order.action() == AdapterOrder.Action.LOAD,
                        order.adapter(),
                        order.version(),
                        mContext.settings().node(),
                        mFence.highest(),
                        mLease.orderCount());
        if (order.action() == AdapterOrder.Action.UNLOAD && !order.statusQuery()) {
            // Other nodes stop sending requests for the adapter before the engine rejects them.
            mService.onUnloading(mEngine.id(), holding().orElseThrow(), order.adapter());
        }
        mClient.sendOrder(request, e -> mLog.logFailed(mEngine.id(), order, e))
                .onSuccess(r -> onReply(order, r, now));
    }

    private void onReply(AdapterOrder order, OrderReply reply, long sentNanos) {
        mInFlight = false;
        mLog.logReply(mEngine.id(), order, reply, mLease.orderCount());
        if (!mLease.isHeld() || mScheduler.isEmpty()) {
            return;
        }
        long now = mContext.clock().now();
        switch (reply) {
            case UNDER_WAY, HOLDS -> onAccepted(order, reply, sentNanos, now);
            case IMPOSSIBLE -> mScheduler.get().onReply(order, reply, now);
            case UNKNOWN -> onUnanswered(order, reply, now);
            case CONFLICT -> mLease.onConflict();
            default -> giveUp("reply " + reply);
        }
    }

    private void onUnanswered(AdapterOrder order, OrderReply reply, long now) {
        mUnansweredOrders++;
        if (mUnansweredOrders >= MAX_UNANSWERED_ORDERS) {
            giveUp("unanswered orders");
            return;
        }
        mLease.onOrderUnanswered();
        if (mScheduler.orElseThrow().onReply(order, reply, now)) {
            mService.onHoldingChanged(mEngine.id(), holding().orElseThrow());
        }
        mNextOrderNanos = now + UNANSWERED_PAUSE_NANOS;
    }

    private void onAccepted(AdapterOrder order, OrderReply reply, long sentNanos, long now) {
        mUnansweredOrders = 0;
        AdapterScheduler scheduler = mScheduler.orElseThrow();
        boolean counted = !order.statusQuery() && incrementsOrderCount(order, reply);
        if (counted) {
            mLease.onOrderAccepted(sentNanos);
        }
        Optional<Long> nanos = scheduler.loadingNanos(order.adapter(), now);
        if (scheduler.onReply(order, reply, now)) {
            nanos.filter(t -> reply == OrderReply.HOLDS)
                    .ifPresent(t -> mService.onLoaded(mEngine.id(), order.adapter(), t, now));
            mService.onHoldingChanged(mEngine.id(), holding().orElseThrow());
        }
        mContext.vertx().runOnContext(v -> sendNextOrder());
        if (scheduler.hasPendingOrders()) {
            mContext.vertx().setTimer(STATUS_POLL_MILLIS, t -> sendNextOrder());
        }
    }

    /** Returns whether the engine counts the order: it skips loads of an already loaded adapter. */
    private static boolean incrementsOrderCount(AdapterOrder order, OrderReply reply) {
        return reply == OrderReply.UNDER_WAY || order.action() == AdapterOrder.Action.UNLOAD;
    }
}
