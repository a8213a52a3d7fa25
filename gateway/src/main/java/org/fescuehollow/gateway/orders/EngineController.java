package org.fescuehollow.gateway.orders;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.List;
import java.util.Map;
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
 * Carries out what {@link EngineLease} and {@link AdapterScheduler} decide for one engine.
 *
 * <p>Invariant: at most one order is under way, and none is sent without a reign. Used on the
 * node's loop.
 */
final class EngineController {
    /** Between reports of an engine that nobody holds; each is priced as a probe. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();

    /** An order is asked about again after this time. */
    private static final long STATUS_POLL_MILLIS = 16;

    /** After an order without an answer: the engine may be restarting. */
    private static final long UNANSWERED_PAUSE_NANOS = Duration.ofMillis(150).toNanos();

    /** Orders without an answer after which the engine is left to its next life. */
    private static final int MAX_UNANSWERED_ORDERS = 6;

    private final NodeContext mContext;
    private final EngineClient mControl;
    private final Dispatcher mDispatcher;
    private final PeerTable mPeers;
    private final OrderService mService;
    private final EngineSpec mSpec;
    private final EngineLease mLease;
    private final FencingNumberGenerator mFence;
    private final OrderCountCheck mCountCheck = new OrderCountCheck();
    private Engine mEngine;
    private Optional<AdapterScheduler> mScheduler = Optional.empty();
    private Optional<EngineState> mLastReport = Optional.empty();
    private long mLastReportRequestNanos;
    private boolean mOrderInFlight;
    private int mUnansweredOrders;
    private long mNextOrderNanos = Long.MIN_VALUE;

    EngineController(
            NodeContext context,
            EngineClient control,
            Dispatcher dispatcher,
            PeerTable peers,
            Engine engine,
            EngineSpec spec,
            OrderService owner) {
        mContext = context;
        mControl = control;
        mDispatcher = dispatcher;
        mPeers = peers;
        mEngine = engine;
        mSpec = spec;
        mService = owner;
        mFence = new FencingNumberGenerator(context.settings().node());
        mLease = new EngineLease(context.settings().leaseMillis(), context.clock().now());
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
            mScheduler = Optional.of(createScheduler(emptyState(engine)));
            mService.onHoldingChanged(engine.id(), holding().orElseThrow());
        }
    }

    private AdapterScheduler createScheduler(EngineState state) {
        // Engines that come back empty take turns between the models, by hash.
        List<String> models = mSpec.modelLoadMillis().keySet().stream().sorted().toList();
        int turn = models.isEmpty() ? 0 : Math.floorMod(mEngine.id().hashCode(), models.size());
        Optional<String> model =
                models.isEmpty() ? Optional.empty() : Optional.of(models.get(turn));
        return new AdapterScheduler(mSpec.adapterSlots(), model, state);
    }

    private static EngineState emptyState(Engine e) {
        return new EngineState(e.startedMillis(), 0, 0, 0, 0, e.models(), Map.of(), Map.of());
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
                && !mOrderInFlight
                && now - mLastReportRequestNanos >= REPORT_INTERVAL_NANOS) {
            requestOrderCount(now);
        }
    }

    private boolean checkMayOrder(long now) {
        boolean held = mLease.isHeld();
        long seen = mPeers.lastHeardByClaimantsNanos(mEngine.id(), mEngine.domain(), now);
        boolean may = mLease.mayOrder(seen, now);
        if (held && !mLease.isHeld()) {
            onLeaseLost("unseen");
        }
        return may;
    }

    private void requestOrderCount(long now) {
        mLastReportRequestNanos = now;
        int sent = mCountCheck.ordersSent();
        mControl.fetchReport(mEngine)
                .onSuccess(s -> onOrderCount(s.orderCount(), sent))
                .onFailure(this::onReportFailed);
    }

    private void onOrderCount(long count, int sentWhenAsked) {
        if (!mCountCheck.onReport(sentWhenAsked)) {
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
            return;
        }
        if (!mPeers.mayClaim(mEngine.id(), mEngine.domain())) {
            return;
        }
        if (now - mLastReportRequestNanos >= REPORT_INTERVAL_NANOS) {
            mLastReportRequestNanos = now;
            mControl.fetchReport(mEngine).onSuccess(this::onReport).onFailure(this::onReportFailed);
        }
        int rank = mPeers.rank(mEngine.id(), mEngine.domain());
        if (mService.isSettled(now)
                && mService.hasFullView()
                && mLastReport.isPresent()
                && mLease.mayClaim(rank, now)) {
            claim(rank, now);
        }
    }

    private void onReport(EngineState state) {
        long now = mContext.clock().now();
        boolean sameLife =
                mEngine.startedMillis() == 0 || state.startedMillis() == mEngine.startedMillis();
        if (sameLife && !mLease.isHeld()) {
            mLease.onOrderCount(state.orderCount(), now);
            mLastReport = Optional.of(state);
        }
    }

    private void onReportFailed(Throwable cause) {
        mContext.metrics().countEvent("report_failed");
        mLastReport = Optional.empty();
    }

    private void claim(int rank, long now) {
        EngineState state = mLastReport.orElseThrow();
        mLease.claim(now);
        mScheduler = Optional.of(createScheduler(state));
        long fence = mFence.next(System.currentTimeMillis());
        mContext.metrics().countEvent("reign_begun");
        mContext.log()
                .event(
                        "reign_begun",
                        "engine",
                        mEngine.id(),
                        "rank",
                        rank,
                        "count",
                        state.orderCount(),
                        "fence",
                        fence);
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

    /** Drops what was known as the holder; it may be wrong by the next reign. */
    private void onLeaseLost(String cause) {
        mScheduler = Optional.empty();
        mLastReport = Optional.empty();
        mService.onEngineLost(mEngine.id());
        mContext.metrics().countEvent("reign_lost");
        mContext.log().event("reign_lost", "engine", mEngine.id(), "cause", cause);
    }

    void requestAdapter(AdapterDemand want, long now) {
        mScheduler.ifPresent(k -> k.addDemand(want, now));
        sendNextOrder();
    }

    void onAdaptersUsed(Set<AdapterKey> adapters, long now) {
        mScheduler.ifPresent(k -> adapters.forEach(a -> k.recordUse(a, now)));
    }

    boolean isHolding() {
        return mLease.isHeld();
    }

    Optional<Holding> holding() {
        return mScheduler.filter(k -> isHolding()).map(this::holding);
    }

    private Holding holding(AdapterScheduler keeper) {
        Set<AdapterKey> coming = keeper.loadingAdapters();
        int inTransit = mService.countStoreLoads(mEngine.id(), coming);
        long now = mContext.clock().now();
        int spare = keeper.spareSlots(a -> isInUse(a, now), now);
        return new Holding(mFence.highest(), keeper.loadedAdapters(), coming, inTransit, spare);
    }

    /** Takes that other adapters are in use than before. */
    void onWorkChanged() {
        if (mScheduler.filter(k -> k.demandCount() > 0).isPresent()) {
            sendNextOrder();
        }
    }

    /** Sends the next order if one is due and none is under way. */
    private void sendNextOrder() {
        long now = mContext.clock().now();
        if (mOrderInFlight
                || now < mNextOrderNanos
                || mScheduler.isEmpty()
                || !checkMayOrder(now)) {
            return;
        }
        AdapterScheduler keeper = mScheduler.orElseThrow();
        onAdaptersUsed(mDispatcher.ownAdapters(mEngine.id()), now);
        Optional<AdapterOrder> order =
                keeper.nextOrder(
                        a -> isInUse(a, now),
                        a -> mService.mayLoad(mEngine.id(), a, now),
                        a -> mService.minLoadNanos(mEngine.id(), a),
                        now);
        order = order.filter(o -> !o.statusQuery() || mLease.mayQueryStatus(now));
        if (order.isEmpty() && mLease.needsCountedOrder(now)) {
            order = keeper.reloadOrder(a -> isInUse(a, now), now);
        }
        order.ifPresent(o -> sendOrder(o, now));
    }

    private boolean isInUse(AdapterKey adapter, long now) {
        return mDispatcher.isInUse(mEngine.id(), adapter, now);
    }

    private void sendOrder(AdapterOrder order, long now) {
        mOrderInFlight = true;
        mCountCheck.onOrderSent();
        OrderRequest call =
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
            // Others stop sending before the engine refuses them.
            mService.onUnloading(mEngine.id(), holding().orElseThrow(), order.adapter());
        }
        Future<OrderReply> reply = mControl.sendOrder(call);
        reply.onSuccess(r -> onReply(order, r, now));
    }

    private void onReply(AdapterOrder order, OrderReply reply, long sentNanos) {
        mOrderInFlight = false;
        mContext.metrics().countOrder(order.action().name(), reply.name());
        if (!order.statusQuery()) {
            mContext.log()
                    .event(
                            "order",
                            "engine",
                            mEngine.id(),
                            "action",
                            order.action(),
                            "adapter",
                            order.adapter(),
                            "reply",
                            reply,
                            "count",
                            mLease.orderCount());
        }
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
        AdapterScheduler keeper = mScheduler.orElseThrow();
        boolean counted = !order.statusQuery() && incrementsOrderCount(order, reply);
        if (counted) {
            mLease.onOrderAccepted(sentNanos);
        }
        Optional<Long> took = keeper.loadingNanos(order.adapter(), now);
        if (keeper.onReply(order, reply, now)) {
            took.filter(t -> reply == OrderReply.HOLDS)
                    .ifPresent(t -> mService.onLoaded(mEngine.id(), order.adapter(), t, now));
            mService.onHoldingChanged(mEngine.id(), holding().orElseThrow());
        }
        mContext.vertx().runOnContext(v -> sendNextOrder());
        if (keeper.hasPendingOrders()) {
            mContext.vertx().setTimer(STATUS_POLL_MILLIS, t -> sendNextOrder());
        }
    }

    /** A load that holds already moves no count; an unload of what is present does. */
    private static boolean incrementsOrderCount(AdapterOrder order, OrderReply reply) {
        return reply == OrderReply.UNDER_WAY || order.action() == AdapterOrder.Action.UNLOAD;
    }
}
