package org.fescuehollow.gateway.store;

import static java.util.stream.Collectors.toSet;

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
import org.fescuehollow.catalog.EngineTable;
import org.fescuehollow.catalog.PrefixReader;
import org.fescuehollow.catalog.WatchScheduler;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.platform.ConfigurationCodec;
import org.fescuehollow.platform.EngineCodec;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StoreKeys;
import org.fescuehollow.versions.VersionRegistry;

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
     * Time after which a read of the engines has an answer, or is superseded, as a share of the
     * settling time. An answer may wait for a change for half of it.
     */
    private static final double ENGINE_READ_SETTLING_SHARE = 2.0 / 3;

    private final NodeContext mContext;
    private final VersionRegistry mVersions;
    private final EngineTable mEngines = new EngineTable(new EngineListener());
    private final Map<AdapterKey, Long> mAdapterVersions = new HashMap<>();
    private Optional<Configuration> mConfiguration = Optional.empty();
    private Runnable mChangeListener = () -> {};
    private Consumer<Engine> mLeavingListener = e -> {};
    private PrefixWatch mOperatorWatch;
    private PrefixWatch mServerWatch;
    private VersionFeed mVersionFeed;
    private long mExpiryTimer = -1;

    /**
     * Creates the service.
     *
     * @param context the context of the node
     */
    public CatalogService(NodeContext context) {
        mContext = context;
        mVersions = new VersionRegistry(engineReadPause().plus(engineAnswerTime()));
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
        mVersionFeed = new VersionFeed(mContext, store, mVersions);
        mServerWatch.onRead(mVersionFeed::onRead);
        mContext.vertx().runOnContext(v -> mOperatorWatch.start());
        mContext.vertx().runOnContext(v -> mServerWatch.start());
    }

    private Duration engineReadPause() {
        double millis = mContext.settings().drainMillis() * ENGINE_READ_PAUSE_DRAIN_SHARE;
        return Duration.ofMillis((long) millis);
    }

    /** Returns the time after the pause within which the store answers or is known to be lost. */
    private Duration engineAnswerTime() {
        double millis = mContext.settings().settlingMillis() * ENGINE_READ_SETTLING_SHARE;
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

    private void onOperatorChange(PrefixReader.Change<StoreItem> change) {
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
        } catch (RuntimeException | StackOverflowError e) {
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
        } else if (next.version() < before) {
            mContext.log()
                    .event("old_configuration", "version", next.version(), "in_force", before);
        }
    }

    private void onServerChange(PrefixReader.Change<StoreItem> change) {
        long now = mContext.clock().now();
        List<EngineEntry> entries = change.items().stream().map(this::decode).toList();
        if (change.complete()) {
            mEngines.onListed(entries.stream().map(EngineEntry::id).collect(toSet()), now);
            mVersionFeed.onListed(entries, mServerWatch.revision(), mServerWatch.era(), now);
        } else {
            entries.forEach(e -> mVersionFeed.onChanged(e, now));
        }
        entries.forEach(e -> applyServerEntry(e, change.returned(), now));
        scheduleExpiry();
        mChangeListener.run();
    }

    private EngineEntry decode(StoreItem item) {
        try {
            String id = item.key().substring(StoreKeys.ENGINES.length());
            return new EngineEntry(item, item.value().map(v -> EngineCodec.decodeEntry(id, v)));
        } catch (RuntimeException | StackOverflowError e) {
            onUnreadable(item, e);
            return new EngineEntry(item, Optional.empty());
        }
    }

    private void applyServerEntry(EngineEntry entry, boolean mayBeOld, long now) {
        if (entry.item().removed()) {
            boolean stable = mServerWatch.isReachableFor(now, EngineTable.RETURN_GRACE);
            mEngines.onRemoved(entry.id(), stable, now);
            return;
        }
        entry.engine()
                .ifPresentOrElse(
                        e -> mEngines.onEntry(e, mayBeOld, now),
                        () -> mEngines.onUnreadable(entry.id()));
    }

    private void scheduleExpiry() {
        mEngines.expiryDelay(mContext.clock().now()).ifPresent(this::scheduleExpiry);
    }

    private void scheduleExpiry(Duration delay) {
        mContext.vertx().cancelTimer(mExpiryTimer);
        mExpiryTimer = mContext.vertx().setTimer(delay.toMillis() + 1, t -> expire());
    }

    private void expire() {
        long now = mContext.clock().now();
        if (!mServerWatch.isReachable(now)) {
            scheduleExpiry(EngineTable.RETURN_GRACE);
            return;
        }
        if (mEngines.expire(now)) {
            mChangeListener.run();
        }
        scheduleExpiry();
    }

    /** Logs the changes of the engines and passes on those that leave. */
    private final class EngineListener implements EngineTable.Listener {
        @Override
        public void onEngine(Engine engine) {
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
                            "software",
                            engine.softwareVersion(),
                            "draining",
                            engine.draining());
        }

        @Override
        public void onGone(Engine engine, String reason) {
            mContext.log().event("engine_gone", "id", engine.id(), "how", reason);
        }

        @Override
        public void onLeaving(Engine engine) {
            mLeavingListener.accept(engine);
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
        if (!mEngines.onLeavingReported(id, startedMillis, mContext.clock().now())) {
            return;
        }
        mContext.log().event("engine_leaving_reported", "id", id);
        mContext.vertx().setTimer(engineReadTime().toMillis(), t -> dropRefutedReports());
        mChangeListener.run();
    }

    /**
     * Handles the word of an engine itself that it is leaving.
     *
     * @param engine the engine that responded
     */
    public void onEngineSaidLeaving(Engine engine) {
        if (mEngines.onLeavingSaid(engine)) {
            mContext.metrics().countEvent("engine_said_leaving");
            mContext.log().event("engine_said_leaving", "id", engine.id());
            mChangeListener.run();
        }
    }

    private void dropRefutedReports() {
        long now = mContext.clock().now();
        if (!mServerWatch.isReachableFor(now, engineReadTime())) {
            mContext.vertx().setTimer(engineReadTime().toMillis(), t -> dropRefutedReports());
            return;
        }
        List<Engine> refuted = mEngines.dropRefutedReports(engineReadTime(), now);
        refuted.forEach(e -> mContext.log().event("engine_leaving_refuted", "id", e.id()));
        if (!refuted.isEmpty()) {
            mChangeListener.run();
        }
    }

    private void onUnreadable(StoreItem item, Throwable e) {
        mContext.metrics().countEvent("unreadable_entry");
        mContext.log().event("unreadable_entry", "key", item.key(), "cause", e.getMessage());
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
        return mEngines.engines();
    }

    /**
     * Finds an engine.
     *
     * @param id the id of the engine
     * @return the engine, or empty if it is gone
     */
    public Optional<Engine> engine(String id) {
        return mEngines.find(id);
    }

    /**
     * Returns the software versions of the engines.
     *
     * @return the registry, which this service feeds
     */
    public VersionRegistry versions() {
        return mVersions;
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
                mEngines.engines().stream().map(Engine::id).toList().toString(),
                "versions",
                mAdapterVersions.size());
    }
}
