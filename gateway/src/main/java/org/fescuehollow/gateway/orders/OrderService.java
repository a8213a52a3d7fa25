package org.fescuehollow.gateway.orders;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.catalog.ServiceSpec;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.gateway.exchange.ExchangeService;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.platform.EngineClient;
import org.fescuehollow.residency.AdapterDemand;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.residency.LoadConcurrencyLimit;
import org.fescuehollow.residency.ResidencyTable;

/**
 * Gives load and unload orders to the engines that this node holds, and passes wants on to the
 * holders of the others.
 *
 * <p>Used on the node's loop.
 */
public final class OrderService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "orders";

    /** A node of a small fleet knows the others by then. */
    private static final long BASE_SETTLE_NANOS = Duration.ofMillis(1_600).toNanos();

    /** Each node is told within a round; the second makes good lost messages. */
    private static final int SETTLE_ROUNDS = 2;

    /** Between looks at engines that nothing happens to. */
    private static final long TICK_INTERVAL_MILLIS = 100;

    /** An engine loads an adapter from its own copy this many times faster. */
    private static final int LOCAL_COPY_SPEEDUP = 10;

    /** A want is told to its holder again after this time; a datagram may be lost. */
    private static final long DEMAND_RESEND_NANOS = 120_000_000L;

    private final NodeContext mContext;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final Map<String, EngineController> mControllers = new HashMap<>();
    private final Map<String, Long> mDemandSentNanos = new HashMap<>();
    private final EngineClient mControl;
    private final LoadConcurrencyLimit mLoadLimit = new LoadConcurrencyLimit();
    private ExchangeService mExchange;
    private CatalogService mCatalog;
    private Kernel mKernel;
    private Consumer<Set<AdapterKey>> mChangeListener = ready -> {};
    private boolean mDraining;
    private long mTimer;
    private long mStartedNanos;

    /**
     * Creates the service.
     *
     * @param context the node
     * @param dispatcher knows which adapters are in use
     * @param residency is told what this node's engines hold
     */
    public OrderService(NodeContext context, Dispatcher dispatcher, ResidencyTable residency) {
        mContext = context;
        mDispatcher = dispatcher;
        mResidency = residency;
        mControl = new EngineClient(context.controlClient());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mKernel = kernel;
        mCatalog = kernel.find(CatalogService.NAME, CatalogService.class);
        mContext.clock().onPause(this::afterPause);
        mStartedNanos = mContext.clock().now();
        mTimer = mContext.vertx().setPeriodic(TICK_INTERVAL_MILLIS, t -> tick());
    }

    @Override
    public void stop() {
        mContext.vertx().cancelTimer(mTimer);
    }

    /**
     * Registers an action for changes of what engines hold.
     *
     * @param listener takes the adapters that are ready on an engine, on the loop
     */
    public void onChange(Consumer<Set<AdapterKey>> listener) {
        mChangeListener = listener;
    }

    /** Gives no more orders. */
    public void giveUpEngines() {
        mDraining = true;
        mControllers.values().forEach(e -> e.giveUp("leaving"));
    }

    private void afterPause() {
        mContext.metrics().countEvent("pause");
        mContext.log().event("paused", "engines", mControllers.size());
        mControllers.values().forEach(e -> e.giveUp("pause"));
    }

    private ExchangeService exchange() {
        if (mExchange == null) {
            mExchange = mKernel.find(ExchangeService.NAME, ExchangeService.class);
        }
        return mExchange;
    }

    private void tick() {
        long now = mContext.clock().now();
        mControllers.keySet().removeIf(id -> mCatalog.engine(id).isEmpty());
        mDemandSentNanos.values().removeIf(t -> now - t > DEMAND_RESEND_NANOS);
        if (mDraining) {
            return;
        }
        for (Engine e : mCatalog.engines()) {
            engineSpec(e)
                    .filter(s -> s.adapterSlots() > 0)
                    .ifPresent(
                            s ->
                                    mControllers
                                            .computeIfAbsent(e.id(), id -> createController(e, s))
                                            .tick(e, now));
        }
    }

    private Optional<EngineSpec> engineSpec(Engine e) {
        return mCatalog.configuration()
                .flatMap(c -> c.findService(e.service()))
                .flatMap(ServiceSpec::engineSpec);
    }

    private EngineController createController(Engine e, EngineSpec spec) {
        return new EngineController(
                mContext, mControl, mDispatcher, exchange().peers(), e, spec, this);
    }

    /** Takes that what an engine of this node holds has changed. */
    void onHoldingChanged(String engine, Holding holding) {
        long now = mContext.clock().now();
        refreshHolding(engine, holding, now);
        exchange().sendHolding(engine, holding);
        mChangeListener.accept(holding.adapters().keySet());
    }

    /** Takes that an adapter is about to leave an engine of this node; others stop using it. */
    void onUnloading(String engine, Holding holding, AdapterKey adapter) {
        mResidency.onAdapterMissing(engine, adapter);
        exchange().sendHolding(engine, holding.without(adapter));
    }

    /**
     * Tells the other nodes that this node's work on an engine has changed.
     *
     * @param engine the engine's id
     */
    public void onWorkChanged(String engine) {
        EngineController own = mControllers.get(engine);
        if (own != null && own.isHolding()) {
            own.onWorkChanged();
        }
        exchange().sendWork(engine);
    }

    /** Takes that this node lost an engine. */
    void onEngineLost(String engine) {
        mResidency.onHolderReleased(engine, mContext.settings().node());
    }

    /** Keeps this node's own word on an engine fresh. */
    void refreshHolding(String engine, Holding holding, long now) {
        String self = mContext.settings().node();
        mResidency.onHolderUpdate(engine, self, holding, now);
    }

    /** Tells whether this node knows enough others to rank itself among them. */
    boolean hasFullView() {
        return exchange().hasFullView();
    }

    /** Tells whether this node has had the time to hear of all others and of who holds what. */
    boolean isSettled(long now) {
        long since = Math.max(mStartedNanos, exchange().peers().lastDiscoveryNanos());
        return now - since
                >= BASE_SETTLE_NANOS + exchange().roundDuration().toNanos() * SETTLE_ROUNDS;
    }

    /** Tells whether one more load of an adapter may begin. */
    boolean mayLoad(String engine, AdapterKey adapter, long now) {
        return mResidency.wasRecentlyLoaded(engine, adapter)
                || mLoadLimit.allows(mResidency.storeLoadsInProgress(now));
    }

    /** Returns the time that a load takes at least, in nanoseconds. */
    long minLoadNanos(String engine, AdapterKey adapter) {
        long store = mLoadLimit.minLoadNanos();
        return mResidency.wasRecentlyLoaded(engine, adapter) ? store / LOCAL_COPY_SPEEDUP : store;
    }

    /** Counts the loads that come from the weight store rather than from the engine's copies. */
    int countStoreLoads(String engine, Set<AdapterKey> coming) {
        return (int) coming.stream().filter(a -> !mResidency.wasRecentlyLoaded(engine, a)).count();
    }

    /** Takes that a load is done. */
    void onLoaded(String engine, AdapterKey adapter, long nanos, long now) {
        if (!mResidency.wasRecentlyLoaded(engine, adapter)) {
            mLoadLimit.onLoadCompleted(nanos, mResidency.storeLoadsInProgress(now));
        }
    }

    /** Finds the other node that says it holds an engine. */
    Optional<String> rivalHolder(String engine, long now) {
        return mResidency
                .activeHolder(engine, now)
                .filter(h -> !h.equals(mContext.settings().node()));
    }

    /**
     * Takes that other nodes' news changed what is known of residency.
     *
     * @param ready adapters that are ready on the engines concerned
     */
    public void onResidencyChanged(Set<AdapterKey> ready) {
        mChangeListener.accept(ready);
    }

    /**
     * Takes that another node says it holds an engine.
     *
     * @param engine the engine's id
     * @param node the node
     * @param fence the fencing number of its reign
     */
    public void onRivalHolds(String engine, String node, long fence) {
        Optional.ofNullable(mControllers.get(engine))
                .ifPresent(e -> e.onRivalHolds(node, fence, mContext.clock().now()));
    }

    /**
     * Takes that the node that held an engine gives no more orders.
     *
     * @param engine the engine's id
     */
    public void onRivalReleased(String engine) {
        Optional.ofNullable(mControllers.get(engine))
                .ifPresent(e -> e.onRivalReleased(mContext.clock().now()));
    }

    /**
     * Takes that requests wait for an adapter.
     *
     * @param engine the engine that should load it
     * @param want the adapter and how long the requests wait
     */
    public void requestAdapter(String engine, AdapterDemand want) {
        long now = mContext.clock().now();
        EngineController own = mControllers.get(engine);
        if (own != null && own.isHolding()) {
            own.requestAdapter(want, now);
            return;
        }
        String key = engine + ' ' + want.adapter();
        if (mDemandSentNanos.containsKey(key)) {
            return;
        }
        mResidency
                .holder(engine, now)
                .ifPresent(
                        h -> {
                            mDemandSentNanos.put(key, now);
                            exchange().sendDemand(h, engine, want);
                        });
    }

    /**
     * Takes that requests of another node use adapters.
     *
     * @param engine the engine's id
     * @param adapters the adapters
     */
    public void onAdaptersUsed(String engine, Set<AdapterKey> adapters) {
        Optional.ofNullable(mControllers.get(engine))
                .ifPresent(
                        e -> {
                            e.onAdaptersUsed(adapters, mContext.clock().now());
                            e.onWorkChanged();
                        });
    }

    /**
     * Returns the engines that this node holds.
     *
     * @return what is ready on each, by engine id
     */
    public Map<String, Holding> holdings() {
        Map<String, Holding> all = new HashMap<>();
        mControllers.forEach((id, e) -> e.holding().ifPresent(h -> all.put(id, h)));
        return all;
    }

    @Override
    public Object dump() {
        return Map.of("holdings", holdings().toString(), "residency", mResidency.dump());
    }
}
