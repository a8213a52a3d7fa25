package org.fescuehollow.gateway.orders;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.BoundedMap;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.catalog.ServiceSpec;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.gateway.exchange.ExchangeService;
import org.fescuehollow.gateway.exchange.LeaseExchange;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.platform.EngineClient;
import org.fescuehollow.residency.AdapterDemand;
import org.fescuehollow.residency.EngineLease;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.residency.LoadConcurrencyLimit;
import org.fescuehollow.residency.ResidencyTable;

/**
 * Gives load and unload orders to the engines that this node holds, and forwards the demand for
 * adapters to the holders of the other engines.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
public final class OrderService implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "orders";

    /** Time in which a node of a small fleet learns of all other nodes. */
    private static final long BASE_SETTLE_NANOS = Duration.ofMillis(1_600).toNanos();

    /** All nodes greet a new one twice, each time within the time of one greeting. */
    private static final int SETTLE_GREETINGS = 2;

    /** Time between two periodic checks of the engines. */
    private static final long TICK_INTERVAL_MILLIS = 100;

    /**
     * How many times faster an engine loads an adapter from its local copy than from the weight
     * store.
     */
    private static final int LOCAL_COPY_SPEEDUP = 10;

    private static final int MAX_SEEN_ENGINES = 16_384;

    /** The lease of a holder is extended in each period of this many ticks. */
    private static final int TICKS_PER_LEASE_REQUEST = 2;

    /** Demand is sent to the holder again after this time, as datagrams may be lost. */
    private static final long DEMAND_RESEND_NANOS = 120_000_000L;

    private final NodeContext mContext;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final Map<String, EngineController> mControllers = new HashMap<>();
    private final Map<String, Long> mDemandSentNanos = new HashMap<>();
    private final Map<String, Long> mSeenEngines = new BoundedMap<>(MAX_SEEN_ENGINES);
    private final EngineClient mEngineClient;
    private final LoadConcurrencyLimit mLoadLimit = new LoadConcurrencyLimit();
    private ExchangeService mExchange;
    private CatalogService mCatalog;
    private Kernel mKernel;
    private Consumer<Set<AdapterKey>> mChangeListener = ready -> {};
    private boolean mDraining;
    private long mTicks;
    private long mTimer;
    private long mStartedNanos;

    /**
     * Creates the service.
     *
     * @param context the context of the node
     * @param dispatcher the dispatcher, which knows the adapters in use
     * @param residency the table that records what this node's engines hold
     */
    public OrderService(NodeContext context, Dispatcher dispatcher, ResidencyTable residency) {
        mContext = context;
        mDispatcher = dispatcher;
        mResidency = residency;
        mEngineClient = new EngineClient(context.controlClient());
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
     * Registers a listener for changes of the adapters that engines hold.
     *
     * @param listener receives the adapters that are loaded on the engines concerned; called on the
     *     event loop
     */
    public void onChange(Consumer<Set<AdapterKey>> listener) {
        mChangeListener = listener;
    }

    /** Gives up all leases and sends no more orders. */
    public void giveUpEngines() {
        mDraining = true;
        mControllers.values().forEach(c -> c.giveUp("leaving"));
    }

    private void afterPause() {
        mContext.metrics().countEvent("pause");
        mContext.log().event("paused", "engines", mControllers.size());
        mControllers.values().forEach(c -> c.giveUp("pause"));
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
                                    tick(
                                            mControllers.computeIfAbsent(
                                                    e.id(), id -> createController(e, s)),
                                            e,
                                            now));
        }
        requestLeases();
    }

    private void requestLeases() {
        boolean extendsLeases = mTicks++ % TICKS_PER_LEASE_REQUEST == 0;
        Map<String, Long> fences = new HashMap<>();
        mControllers.forEach(
                (id, c) -> {
                    if (c.isAsking() || extendsLeases && c.isHolding()) {
                        fences.put(id, c.fence());
                    }
                });
        leases().request(fences, this);
    }

    /**
     * Handles the grant of a lease on an engine by a witness.
     *
     * @param engine the engine's id
     * @param witness the IP address of the witness
     * @param askedNanos the monotonic time in nanoseconds at which this node asked for it
     * @param fence the highest fencing number that the witness knows for the engine
     */
    public void onLeaseGranted(String engine, String witness, long askedNanos, long fence) {
        Optional.ofNullable(mControllers.get(engine))
                .ifPresent(c -> c.onLeaseGranted(witness, askedNanos, fence));
    }

    LeaseExchange leases() {
        return exchange().leases();
    }

    /** An exception for one engine must not keep the others from being checked. */
    private void tick(EngineController controller, Engine engine, long now) {
        try {
            controller.tick(engine, now);
        } catch (RuntimeException e) {
            mContext.metrics().countEvent("engine_check_failed");
            mContext.log().event("engine_check_failed", "engine", engine.id(), "cause", e);
        }
    }

    private Optional<EngineSpec> engineSpec(Engine e) {
        return mCatalog.configuration()
                .flatMap(c -> c.findService(e.service()))
                .flatMap(ServiceSpec::engineSpec);
    }

    private EngineController createController(Engine e, EngineSpec spec) {
        return new EngineController(
                mContext, mEngineClient, mDispatcher, exchange().peers(), e, spec, this);
    }

    /** Handles a change of the adapters on an engine that this node holds. */
    void onHoldingChanged(String engine, Holding holding) {
        long now = mContext.clock().now();
        refreshHolding(engine, holding, now);
        exchange().sendHolding(engine, holding);
        mChangeListener.accept(holding.adapters().keySet());
    }

    /**
     * Handles the start of an unload on an engine that this node holds; the other nodes stop using
     * the adapter.
     */
    void onUnloading(String engine, Holding holding, AdapterKey adapter) {
        mResidency.onAdapterMissing(engine, adapter);
        exchange().sendHolding(engine, holding.without(adapter));
    }

    /**
     * Handles a change of this node's work on an engine and sends it to the other nodes.
     *
     * @param engine the engine's id
     */
    public void onWorkChanged(String engine) {
        EngineController controller = mControllers.get(engine);
        if (controller != null && controller.isHolding()) {
            controller.onWorkChanged();
        }
        exchange().sendWork(engine);
    }

    /** Handles the loss of the lease of an engine. */
    void onEngineLost(String engine) {
        mResidency.onHolderReleased(engine, mContext.settings().node());
    }

    /** Refreshes this node's own entry for an engine that it holds. */
    void refreshHolding(String engine, Holding holding, long now) {
        String self = mContext.settings().node();
        mResidency.onHolderUpdate(engine, self, holding, now);
    }

    /** Returns whether this node knows all other nodes, so that its rank among them is right. */
    boolean hasFullView() {
        return exchange().hasFullView();
    }

    /**
     * Returns whether this node has had time to learn of all other nodes and the engines they hold.
     */
    boolean isSettled(long now) {
        long since = Math.max(mStartedNanos, exchange().peers().lastDiscoveryNanos());
        return now - since
                >= BASE_SETTLE_NANOS + exchange().greetingDuration().toNanos() * SETTLE_GREETINGS;
    }

    /** Records an engine; returns whether it may have been held before this node saw it. */
    boolean mayHaveBeenHeld(String engine, long now) {
        boolean seen = mSeenEngines.put(engine, now) != null;
        long exclusiveNanos = EngineLease.exclusiveNanos(mContext.settings().leaseMillis());
        return seen || now - mStartedNanos < exclusiveNanos;
    }

    /** Returns whether one more load may start. */
    boolean mayLoad(String engine, AdapterKey adapter, long now) {
        return mResidency.wasRecentlyLoaded(engine, adapter)
                || mLoadLimit.allows(mResidency.storeLoadsInProgress(now));
    }

    /** Returns the minimum duration of a load in nanoseconds. */
    long minLoadNanos(String engine, AdapterKey adapter) {
        long storeNanos = mLoadLimit.minLoadNanos();
        return mResidency.wasRecentlyLoaded(engine, adapter)
                ? storeNanos / LOCAL_COPY_SPEEDUP
                : storeNanos;
    }

    /**
     * Counts the loads that read from the weight store rather than from the engine's local copy.
     */
    int countStoreLoads(String engine, Set<AdapterKey> loading) {
        return (int) loading.stream().filter(a -> !mResidency.wasRecentlyLoaded(engine, a)).count();
    }

    /** Records a completed load. */
    void onLoaded(String engine, AdapterKey adapter, long nanos, long now) {
        if (!mResidency.wasRecentlyLoaded(engine, adapter)) {
            mLoadLimit.onLoadCompleted(nanos, mResidency.storeLoadsInProgress(now));
        }
    }

    /** Finds the other node that claims to hold an engine. */
    Optional<String> rivalHolder(String engine, long now) {
        return mResidency
                .activeHolder(engine, now)
                .filter(h -> !h.equals(mContext.settings().node()));
    }

    /**
     * Handles a change of the known residency by the message of another node.
     *
     * @param ready the adapters that are loaded on the engines concerned
     */
    public void onResidencyChanged(Set<AdapterKey> ready) {
        mChangeListener.accept(ready);
    }

    /**
     * Handles the message of another node that it holds an engine.
     *
     * @param engine the engine's id
     * @param node the node
     * @param fence the fencing number of its lease
     */
    public void onRivalHolds(String engine, String node, long fence) {
        Optional.ofNullable(mControllers.get(engine))
                .ifPresent(c -> c.onRivalHolds(node, fence, mContext.clock().now()));
    }

    /**
     * Handles the release of an engine by the node that held it.
     *
     * @param engine the engine's id
     */
    public void onRivalReleased(String engine) {
        Optional.ofNullable(mControllers.get(engine))
                .ifPresent(c -> c.onRivalReleased(mContext.clock().now()));
    }

    /**
     * Requests an adapter for which requests wait: directly if this node holds the engine, else
     * from its holder.
     *
     * @param engine the engine that should load it
     * @param demand the adapter and how long the requests wait
     */
    public void requestAdapter(String engine, AdapterDemand demand) {
        long now = mContext.clock().now();
        EngineController controller = mControllers.get(engine);
        if (controller != null && controller.isHolding()) {
            controller.requestAdapter(demand, now);
            return;
        }
        String key = engine + ' ' + demand.adapter();
        if (mDemandSentNanos.containsKey(key)) {
            return;
        }
        mResidency
                .holder(engine, now)
                .ifPresent(
                        h -> {
                            mDemandSentNanos.put(key, now);
                            exchange().sendDemand(h, engine, demand);
                        });
    }

    /**
     * Records that requests of another node use adapters.
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
     * Returns what this node has loaded on the engines that it holds.
     *
     * @return the holdings by engine id
     */
    public Map<String, Holding> holdings() {
        Map<String, Holding> all = new HashMap<>();
        mControllers.forEach((id, c) -> c.holding().ifPresent(h -> all.put(id, h)));
        return all;
    }

    @Override
    public Object dump() {
        return Map.of("holdings", holdings().toString(), "residency", mResidency.dump());
    }
}
