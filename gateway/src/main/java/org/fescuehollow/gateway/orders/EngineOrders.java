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
final class EngineOrders {
    /** Between reports of an engine that nobody holds; each is priced as a probe. */
    private static final long REPORT_NANOS = Duration.ofMillis(400).toNanos();

    /** An order is asked about again after this time. */
    private static final long ASK_MILLIS = 16;

    /** After an order without an answer: the engine may be restarting. */
    private static final long UNANSWERED_PAUSE_NANOS = Duration.ofMillis(150).toNanos();

    /** Orders without an answer after which the engine is left to its next life. */
    private static final int MOST_UNANSWERED = 6;

    private final NodeContext mContext;
    private final EngineClient mControl;
    private final Dispatcher mDispatcher;
    private final PeerTable mPeers;
    private final OrderService mOwner;
    private final EngineSpec mSpec;
    private final EngineLease mReign;
    private final FencingNumberGenerator mFence;
    private final CountCheck mCounts = new CountCheck();
    private Engine mEngine;
    private Optional<AdapterScheduler> mKeeper = Optional.empty();
    private Optional<EngineState> mReport = Optional.empty();
    private long mReportNanos;
    private boolean mBusy;
    private int mUnanswered;
    private long mNotBeforeNanos = Long.MIN_VALUE;

    EngineOrders(
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
        mOwner = owner;
        mFence = new FencingNumberGenerator(context.settings().node());
        mReign = new EngineLease(context.settings().leaseMillis(), context.clock().now());
    }

    void tick(Engine engine, long now) {
        if (!engine.isSameIncarnation(mEngine)) {
            restarted(engine, now);
        }
        mEngine = engine;
        if (mReign.isHeld()) {
            hold(now);
        } else {
            observe(now);
        }
    }

    private void restarted(Engine engine, long now) {
        mContext.log().line("engine_restarted", "id", engine.id(), "holding", isHolding());
        mReign.onEngineRestarted(now);
        mReport = Optional.empty();
        if (mReign.isHeld()) {
            mKeeper = Optional.of(keeper(emptyState(engine)));
            mOwner.changed(engine.id(), holding().orElseThrow());
        }
    }

    private AdapterScheduler keeper(EngineState state) {
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

    private void hold(long now) {
        boolean mayOrder = mayOrder(now);
        if (!mReign.isHeld()) {
            return;
        }
        mOwner.stillHolds(mEngine.id(), holding().orElseThrow(), now);
        mKeeper.orElseThrow().sampleUsage(a -> inUse(a, now), now);
        if (mayOrder) {
            pump();
        }
        if (mReign.needsOrderCount() && !mBusy && now - mReportNanos >= REPORT_NANOS) {
            recount(now);
        }
    }

    private boolean mayOrder(long now) {
        boolean held = mReign.isHeld();
        long seen = mPeers.lastHeardByClaimantsNanos(mEngine.id(), mEngine.domain(), now);
        boolean may = mReign.mayOrder(seen, now);
        if (held && !mReign.isHeld()) {
            forget("unseen");
        }
        return may;
    }

    private void recount(long now) {
        mReportNanos = now;
        int sent = mCounts.sent();
        mControl.fetchReport(mEngine)
                .onSuccess(s -> counted(s.orderCount(), sent))
                .onFailure(this::silent);
    }

    private void counted(long count, int sentWhenAsked) {
        if (!mCounts.stands(sentWhenAsked)) {
            return;
        }
        boolean held = mReign.isHeld();
        mReign.onOrderCountVerified(count, mContext.clock().now());
        if (held && !mReign.isHeld()) {
            forget("count " + count);
        }
    }

    private void observe(long now) {
        Optional<String> rival = mOwner.rival(mEngine.id(), now);
        if (rival.isPresent()) {
            mReign.onRivalHeard(now);
            return;
        }
        if (!mPeers.mayClaim(mEngine.id(), mEngine.domain())) {
            return;
        }
        if (now - mReportNanos >= REPORT_NANOS) {
            mReportNanos = now;
            mControl.fetchReport(mEngine).onSuccess(this::reported).onFailure(this::silent);
        }
        int rank = mPeers.rank(mEngine.id(), mEngine.domain());
        if (mOwner.isSettled(now)
                && mOwner.knowsOthers()
                && mReport.isPresent()
                && mReign.mayClaim(rank, now)) {
            claim(rank, now);
        }
    }

    private void reported(EngineState state) {
        long now = mContext.clock().now();
        boolean sameLife =
                mEngine.startedMillis() == 0 || state.startedMillis() == mEngine.startedMillis();
        if (sameLife && !mReign.isHeld()) {
            mReign.onOrderCount(state.orderCount(), now);
            mReport = Optional.of(state);
        }
    }

    private void silent(Throwable cause) {
        mContext.metrics().event("report_failed");
        mReport = Optional.empty();
    }

    private void claim(int rank, long now) {
        EngineState state = mReport.orElseThrow();
        mReign.claim(now);
        mKeeper = Optional.of(keeper(state));
        long fence = mFence.next(System.currentTimeMillis());
        mContext.metrics().event("reign_begun");
        mContext.log()
                .line(
                        "reign_begun",
                        "engine",
                        mEngine.id(),
                        "rank",
                        rank,
                        "count",
                        state.orderCount(),
                        "fence",
                        fence);
        mOwner.changed(mEngine.id(), holding().orElseThrow());
    }

    void rivalHolds(String node, long fence, long now) {
        if (mReign.isHeld() && fence > mFence.highest()) {
            lose("rival " + node);
        } else if (mReign.isHeld()) {
            mReign.onConflict();
        }
        if (!mReign.isHeld()) {
            mFence.observe(fence);
            mReign.onRivalHeard(now);
        }
    }

    void rivalReleased(long now) {
        if (!mReign.isHeld()) {
            mReign.onRivalReleased(now);
        }
    }

    void lose(String cause) {
        boolean held = mReign.isHeld();
        mReign.abandon(mContext.clock().now());
        if (held) {
            forget(cause);
        }
    }

    /** Drops what was known as the holder; it may be wrong by the next reign. */
    private void forget(String cause) {
        mKeeper = Optional.empty();
        mReport = Optional.empty();
        mOwner.lost(mEngine.id());
        mContext.metrics().event("reign_lost");
        mContext.log().line("reign_lost", "engine", mEngine.id(), "cause", cause);
    }

    void want(AdapterDemand want, long now) {
        mKeeper.ifPresent(k -> k.addDemand(want, now));
        pump();
    }

    void used(Set<AdapterKey> adapters, long now) {
        mKeeper.ifPresent(k -> adapters.forEach(a -> k.recordUse(a, now)));
    }

    boolean isHolding() {
        return mReign.isHeld();
    }

    Optional<Holding> holding() {
        return mKeeper.filter(k -> isHolding()).map(this::holding);
    }

    private Holding holding(AdapterScheduler keeper) {
        Set<AdapterKey> coming = keeper.loadingAdapters();
        int inTransit = mOwner.inTransit(mEngine.id(), coming);
        long now = mContext.clock().now();
        int spare = keeper.spareSlots(a -> inUse(a, now), now);
        return new Holding(mFence.highest(), keeper.loadedAdapters(), coming, inTransit, spare);
    }

    /** Takes that other adapters are in use than before. */
    void workChanged() {
        if (mKeeper.filter(k -> k.demandCount() > 0).isPresent()) {
            pump();
        }
    }

    /** Sends the next order if one is due and none is under way. */
    private void pump() {
        long now = mContext.clock().now();
        if (mBusy || now < mNotBeforeNanos || mKeeper.isEmpty() || !mayOrder(now)) {
            return;
        }
        AdapterScheduler keeper = mKeeper.orElseThrow();
        used(mDispatcher.ownAdapters(mEngine.id()), now);
        Optional<AdapterOrder> order =
                keeper.nextOrder(
                        a -> inUse(a, now),
                        a -> mOwner.mayLoad(mEngine.id(), a, now),
                        a -> mOwner.loadNanos(mEngine.id(), a),
                        now);
        order = order.filter(o -> !o.statusQuery() || mReign.mayQueryStatus(now));
        if (order.isEmpty() && mReign.needsCountedOrder(now)) {
            order = keeper.reloadOrder(a -> inUse(a, now), now);
        }
        order.ifPresent(o -> send(o, now));
    }

    private boolean inUse(AdapterKey adapter, long now) {
        return mDispatcher.isInUse(mEngine.id(), adapter, now);
    }

    private void send(AdapterOrder order, long now) {
        mBusy = true;
        mCounts.orderSent();
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
                        mReign.orderCount());
        if (order.action() == AdapterOrder.Action.UNLOAD && !order.statusQuery()) {
            // Others stop sending before the engine refuses them.
            mOwner.leaving(mEngine.id(), holding().orElseThrow(), order.adapter());
        }
        Future<OrderReply> reply = mControl.sendOrder(call);
        reply.onSuccess(r -> replied(order, r, now));
    }

    private void replied(AdapterOrder order, OrderReply reply, long sentNanos) {
        mBusy = false;
        mContext.metrics().order(order.action().name(), reply.name());
        if (!order.statusQuery()) {
            mContext.log()
                    .line(
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
                            mReign.orderCount());
        }
        if (!mReign.isHeld() || mKeeper.isEmpty()) {
            return;
        }
        long now = mContext.clock().now();
        switch (reply) {
            case UNDER_WAY, HOLDS -> accepted(order, reply, sentNanos, now);
            case IMPOSSIBLE -> mKeeper.get().onReply(order, reply, now);
            case UNKNOWN -> unanswered(order, reply, now);
            case CONFLICT -> mReign.onConflict();
            default -> lose("reply " + reply);
        }
    }

    private void unanswered(AdapterOrder order, OrderReply reply, long now) {
        mUnanswered++;
        if (mUnanswered >= MOST_UNANSWERED) {
            lose("unanswered orders");
            return;
        }
        mReign.onOrderUnanswered();
        if (mKeeper.orElseThrow().onReply(order, reply, now)) {
            mOwner.changed(mEngine.id(), holding().orElseThrow());
        }
        mNotBeforeNanos = now + UNANSWERED_PAUSE_NANOS;
    }

    private void accepted(AdapterOrder order, OrderReply reply, long sentNanos, long now) {
        mUnanswered = 0;
        AdapterScheduler keeper = mKeeper.orElseThrow();
        boolean counted = !order.statusQuery() && countsAs(order, reply);
        if (counted) {
            mReign.onOrderAccepted(sentNanos);
        }
        Optional<Long> took = keeper.loadingNanos(order.adapter(), now);
        if (keeper.onReply(order, reply, now)) {
            took.filter(t -> reply == OrderReply.HOLDS)
                    .ifPresent(t -> mOwner.loaded(mEngine.id(), order.adapter(), t, now));
            mOwner.changed(mEngine.id(), holding().orElseThrow());
        }
        mContext.vertx().runOnContext(v -> pump());
        if (keeper.hasPendingOrders()) {
            mContext.vertx().setTimer(ASK_MILLIS, t -> pump());
        }
    }

    /** A load that holds already moves no count; an unload of what is present does. */
    private static boolean countsAs(AdapterOrder order, OrderReply reply) {
        return reply == OrderReply.UNDER_WAY || order.action() == AdapterOrder.Action.UNLOAD;
    }
}
