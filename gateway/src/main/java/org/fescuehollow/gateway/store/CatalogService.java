package org.fescuehollow.gateway.store;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Configuration;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.LeaveReports;
import org.fescuehollow.catalog.WatchScheduler;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.platform.ConfigurationCodec;
import org.fescuehollow.platform.DecodeException;
import org.fescuehollow.platform.EngineCodec;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StoreKeys;

/**
 * Keeps the configuration, engines and adapter versions that are published in the store.
 *
 * <p>Invariants: the version of the configuration never decreases; an entry that can't be decoded
 * adds no engine and doesn't affect other entries; everything read stays in force while the store
 * is unreachable. Not thread-safe; used on the node's event loop.
 */
public final class CatalogService implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "catalog";

    /**
     * Pause between two reads of the engines as a share of the time that a draining engine goes on
     * serving: their entries change often, and the platform charges for each call.
     */
    private static final double ENGINE_READ_PAUSE_DRAIN_SHARE = 0.5;

    /**
     * When the store becomes reachable again, entries of running servers may be missing for up to
     * this time.
     */
    private static final Duration STORE_RETURN_GRACE = Duration.ofMillis(2_600);

    private final NodeContext mContext;
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Map<String, Long> mMissingSince = new HashMap<>();
    private final Map<AdapterKey, Long> mAdapterVersions = new HashMap<>();
    private final LeaveReports mLeaveReports = new LeaveReports();
    private Optional<Configuration> mConfiguration = Optional.empty();
    private Runnable mChangeListener = () -> {};
    private Consumer<Engine> mLeavingListener = e -> {};
    private PrefixWatch mOperatorWatch;
    private PrefixWatch mServerWatch;

    /**
     * Creates the service.
     *
     * @param context the context of the node
     */
    public CatalogService(NodeContext context) {
        mContext = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Registers a listener for changes.
     *
     * @param listener runs on the event loop after each change
     */
    public void onChange(Runnable listener) {
        mChangeListener = listener;
    }

    /**
     * Registers a listener for engines that are leaving.
     *
     * @param listener receives each engine that this node reads to be draining or gone and that no
     *     other node reported before; called on the event loop
     */
    public void onEngineLeaving(Consumer<Engine> listener) {
        mLeavingListener = listener;
    }

    @Override
    public void start(Kernel kernel) {
        StoreClient store =
                new StoreClient(
                        mContext.unpooledClient(),
                        mContext.settings().storeAddress().host(),
                        mContext.settings().storeAddress().port());
        long now = mContext.clock().now();
        Duration settling = Duration.ofMillis(mContext.settings().settlingMillis());
        mOperatorWatch =
                new PrefixWatch(
                        mContext,
                        store,
                        StoreKeys.OPERATORS,
                        new WatchScheduler(settling, now),
                        Duration.ZERO,
                        this::onOperatorChange);
        mServerWatch =
                new PrefixWatch(
                        mContext,
                        store,
                        StoreKeys.ENGINES,
                        new WatchScheduler(settling, now),
                        engineReadPause(),
                        this::onServerChange);
        mContext.vertx().runOnContext(v -> mOperatorWatch.start());
        mContext.vertx().runOnContext(v -> mServerWatch.start());
    }

    private Duration engineReadPause() {
        double millis = mContext.settings().drainMillis() * ENGINE_READ_PAUSE_DRAIN_SHARE;
        return Duration.ofMillis((long) millis);
    }

    /** Returns the time within which a change is read while the store is reachable. */
    private Duration engineReadTime() {
        return engineReadPause().plusMillis(mContext.settings().settlingMillis());
    }

    @Override
    public void stop() {
        mOperatorWatch.stop();
        mServerWatch.stop();
    }

    /** Updates the gauges; called for each scrape of the metrics. */
    public void updateGauges() {
        long now = mContext.clock().now();
        mContext.metrics().setState("operators_silence_ms", mOperatorWatch.silence(now).toMillis());
        mContext.metrics().setState("engines_silence_ms", mServerWatch.silence(now).toMillis());
        mContext.metrics()
                .setState("configuration", mConfiguration.map(Configuration::version).orElse(-1L));
    }

    private void onOperatorChange(PrefixWatch.Change change) {
        change.items().forEach(this::applyOperatorItem);
        mChangeListener.run();
    }

    private void applyOperatorItem(StoreItem item) {
        try {
            if (item.key().equals(StoreKeys.CONFIGURATION)) {
                item.value().map(ConfigurationCodec::decode).ifPresent(this::applyConfiguration);
            } else if (item.key().startsWith(StoreKeys.ADAPTER_VERSIONS)) {
                item.value()
                        .map(EngineCodec::decodeAdapterVersion)
                        .ifPresent(
                                v -> mAdapterVersions.merge(v.getKey(), v.getValue(), Math::max));
            }
        } catch (DecodeException e) {
            onUnreadable(item, e);
        }
    }

    private void applyConfiguration(Configuration next) {
        long before = mConfiguration.map(Configuration::version).orElse(-1L);
        if (next.version() > before) {
            mConfiguration = Optional.of(next);
            mContext.metrics().countEvent("configuration");
            mContext.log()
                    .event(
                            "configuration",
                            "version",
                            next.version(),
                            "before",
                            before,
                            "routes",
                            next.routeCount());
        }
    }

    private void onServerChange(PrefixWatch.Change change) {
        long now = mContext.clock().now();
        if (change.complete()) {
            List<String> present = change.items().stream().map(i -> engineId(i.key())).toList();
            mEngines.keySet().stream()
                    .filter(id -> !present.contains(id))
                    .forEach(id -> mMissingSince.putIfAbsent(id, now));
        }
        change.items().forEach(i -> applyServerItem(i, now));
        if (!mMissingSince.isEmpty()) {
            mContext.vertx().setTimer(STORE_RETURN_GRACE.toMillis() + 1, t -> removeMissing());
        }
        mChangeListener.run();
    }

    private void applyServerItem(StoreItem item, long now) {
        String id = engineId(item.key());
        mMissingSince.remove(id);
        if (item.removed()) {
            if (mServerWatch.isReachableFor(now, STORE_RETURN_GRACE)) {
                removeEngine(id, "removed");
            } else {
                mMissingSince.put(id, now);
            }
            return;
        }
        try {
            item.value().map(v -> EngineCodec.decodeEntry(id, v)).ifPresent(this::registerEngine);
        } catch (DecodeException e) {
            onUnreadable(item, e);
        }
    }

    /**
     * Handles the report of another node that an engine is draining or gone, which it read before
     * this node did.
     *
     * @param id the engine's id
     * @param startedMillis the Unix time of its start
     */
    public void onEngineLeavingReported(String id, long startedMillis) {
        Engine engine = mEngines.get(id);
        if (engine == null || engine.startedMillis() != startedMillis || engine.draining()) {
            return;
        }
        mLeaveReports.add(engine, mContext.clock().now());
        mEngines.put(id, engine.asDraining());
        mContext.log().event("engine_leaving_reported", "id", id);
        mContext.vertx().setTimer(engineReadTime().toMillis(), t -> dropRefutedReports());
        mChangeListener.run();
    }

    private void dropRefutedReports() {
        long now = mContext.clock().now();
        if (!mServerWatch.isReachableFor(now, engineReadTime())) {
            mContext.vertx().setTimer(engineReadTime().toMillis(), t -> dropRefutedReports());
            return;
        }
        List<Engine> refuted = mLeaveReports.removeOlderThan(engineReadTime(), now);
        refuted.forEach(
                e -> {
                    mEngines.put(e.id(), e);
                    mContext.log().event("engine_leaving_refuted", "id", e.id());
                });
        if (!refuted.isEmpty()) {
            mChangeListener.run();
        }
    }

    private void registerEngine(Engine engine) {
        Engine before = mEngines.put(engine.id(), engine);
        mLeaveReports.onRead(engine.id());
        if (before != null && !before.draining() && engine.draining()) {
            mLeavingListener.accept(engine);
        }
        if (before == null
                || !before.isSameIncarnation(engine)
                || before.draining() != engine.draining()) {
            mContext.log()
                    .event(
                            "engine",
                            "id",
                            engine.id(),
                            "service",
                            engine.service(),
                            "domain",
                            engine.domain(),
                            "started",
                            engine.startedMillis(),
                            "draining",
                            engine.draining());
        }
    }

    private void removeMissing() {
        long now = mContext.clock().now();
        List<String> expired =
                mMissingSince.entrySet().stream()
                        .filter(e -> now - e.getValue() >= STORE_RETURN_GRACE.toNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        if (mServerWatch.isReachable(now)) {
            expired.forEach(id -> removeEngine(id, "missing"));
            expired.forEach(mMissingSince::remove);
            mChangeListener.run();
        }
    }

    private void removeEngine(String id, String reason) {
        Engine engine = mEngines.remove(id);
        mLeaveReports.onRead(id);
        if (engine == null) {
            return;
        }
        mContext.log().event("engine_gone", "id", id, "how", reason);
        if (!engine.draining()) {
            mLeavingListener.accept(engine);
        }
    }

    private void onUnreadable(StoreItem item, DecodeException e) {
        mContext.metrics().countEvent("unreadable_entry");
        mContext.log().event("unreadable_entry", "key", item.key(), "cause", e.getMessage());
    }

    private static String engineId(String key) {
        return key.substring(StoreKeys.ENGINES.length());
    }

    /**
     * Returns the current configuration.
     *
     * @return the configuration, or empty until one was read
     */
    public Optional<Configuration> configuration() {
        return mConfiguration;
    }

    /**
     * Returns the registered engines.
     *
     * @return a live view of the engines
     */
    public Collection<Engine> engines() {
        return mEngines.values();
    }

    /**
     * Finds an engine.
     *
     * @param id the id of the engine
     * @return the engine, or empty if it is gone
     */
    public Optional<Engine> engine(String id) {
        return Optional.ofNullable(mEngines.get(id));
    }

    /**
     * Returns the newest announced version of an adapter.
     *
     * @param adapter the adapter
     * @return the version, or 0 if none was announced
     */
    public long adapterVersion(AdapterKey adapter) {
        return mAdapterVersions.getOrDefault(adapter, 0L);
    }

    @Override
    public Object dump() {
        return Map.of(
                "configuration",
                mConfiguration.map(Configuration::version).orElse(-1L),
                "engines",
                mEngines.keySet().toString(),
                "versions",
                mAdapterVersions.size());
    }
}
