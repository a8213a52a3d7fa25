package org.fescuehollow.gateway.store;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Configuration;
import org.fescuehollow.catalog.Engine;
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
 * Keeps what the store publishes: configuration, engines and versions of adapters.
 *
 * <p>Invariants: the configuration's version never decreases; an entry that can't be read names no
 * engine and harms no other; what was read stays in force while the store is away. Used on the
 * node's loop.
 */
public final class CatalogService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "catalog";

    /** Between looks at the engines, whose entries change often; calls are priced. */
    private static final Duration ENGINE_PAUSE = Duration.ofMillis(700);

    /**
     * After its return a store may lack entries of servers that live; they are back within this
     * time.
     */
    private static final Duration RETURN_GRACE = Duration.ofMillis(2_600);

    private final NodeContext mContext;
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Map<String, Long> mMissingSince = new HashMap<>();
    private final Map<AdapterKey, Long> mVersions = new HashMap<>();
    private Optional<Configuration> mConfiguration = Optional.empty();
    private Runnable mListener = () -> {};
    private PrefixWatch mOperators;
    private PrefixWatch mServers;

    /**
     * Creates the service.
     *
     * @param context the node
     */
    public CatalogService(NodeContext context) {
        mContext = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Registers an action for changes.
     *
     * @param listener runs on the loop after each change
     */
    public void onChange(Runnable listener) {
        mListener = listener;
    }

    @Override
    public void start(Kernel kernel) {
        StoreClient store =
                new StoreClient(
                        mContext.once(),
                        mContext.settings().store().host(),
                        mContext.settings().store().port());
        long now = mContext.clock().now();
        Duration settling = Duration.ofMillis(mContext.settings().settlingMillis());
        mOperators =
                new PrefixWatch(
                        mContext,
                        store,
                        StoreKeys.OPERATORS,
                        new WatchScheduler(settling, now),
                        Duration.ZERO,
                        this::operators);
        mServers =
                new PrefixWatch(
                        mContext,
                        store,
                        StoreKeys.ENGINES,
                        new WatchScheduler(settling, now),
                        ENGINE_PAUSE,
                        this::servers);
        mContext.vertx().runOnContext(v -> mOperators.start());
        mContext.vertx().runOnContext(v -> mServers.start());
    }

    @Override
    public void stop() {
        mOperators.stop();
        mServers.stop();
    }

    /** Brings the gauges up to date; for each look at the metrics. */
    public void updateGauges() {
        long now = mContext.clock().now();
        mContext.metrics().state("operators_silence_ms", mOperators.silence(now).toMillis());
        mContext.metrics().state("engines_silence_ms", mServers.silence(now).toMillis());
        mContext.metrics()
                .state("configuration", mConfiguration.map(Configuration::version).orElse(-1L));
    }

    private void operators(PrefixWatch.Change change) {
        change.items().forEach(this::operatorItem);
        mListener.run();
    }

    private void operatorItem(StoreItem item) {
        try {
            if (item.key().equals(StoreKeys.CONFIGURATION)) {
                item.value().map(ConfigurationCodec::decode).ifPresent(this::configured);
            } else if (item.key().startsWith(StoreKeys.ADAPTER_VERSIONS)) {
                item.value()
                        .map(EngineCodec::decodeAdapterVersion)
                        .ifPresent(v -> mVersions.merge(v.getKey(), v.getValue(), Math::max));
            }
        } catch (DecodeException e) {
            unreadable(item, e);
        }
    }

    private void configured(Configuration next) {
        long before = mConfiguration.map(Configuration::version).orElse(-1L);
        if (next.version() > before) {
            mConfiguration = Optional.of(next);
            mContext.metrics().event("configuration");
            mContext.log()
                    .line(
                            "configuration",
                            "version",
                            next.version(),
                            "before",
                            before,
                            "routes",
                            next.routeCount());
        }
    }

    private void servers(PrefixWatch.Change change) {
        long now = mContext.clock().now();
        if (change.whole()) {
            List<String> present = change.items().stream().map(i -> id(i.key())).toList();
            mEngines.keySet().stream()
                    .filter(id -> !present.contains(id))
                    .forEach(id -> mMissingSince.putIfAbsent(id, now));
        }
        change.items().forEach(i -> serverItem(i, now));
        if (!mMissingSince.isEmpty()) {
            mContext.vertx().setTimer(RETURN_GRACE.toMillis() + 1, t -> dropMissing());
        }
        mListener.run();
    }

    private void serverItem(StoreItem item, long now) {
        String id = id(item.key());
        mMissingSince.remove(id);
        if (item.removed()) {
            if (mServers.isSettled(now, RETURN_GRACE)) {
                gone(id, "removed");
            } else {
                mMissingSince.put(id, now);
            }
            return;
        }
        try {
            item.value().map(v -> EngineCodec.decodeEntry(id, v)).ifPresent(this::registered);
        } catch (DecodeException e) {
            unreadable(item, e);
        }
    }

    private void registered(Engine engine) {
        Engine before = mEngines.put(engine.id(), engine);
        if (before == null
                || !before.isSameIncarnation(engine)
                || before.draining() != engine.draining()) {
            mContext.log()
                    .line(
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

    private void dropMissing() {
        long now = mContext.clock().now();
        List<String> late =
                mMissingSince.entrySet().stream()
                        .filter(e -> now - e.getValue() >= RETURN_GRACE.toNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        if (mServers.isReading(now)) {
            late.forEach(id -> gone(id, "missing"));
            late.forEach(mMissingSince::remove);
            mListener.run();
        }
    }

    private void gone(String id, String how) {
        if (mEngines.remove(id) != null) {
            mContext.log().line("engine_gone", "id", id, "how", how);
        }
    }

    private void unreadable(StoreItem item, DecodeException e) {
        mContext.metrics().event("unreadable_entry");
        mContext.log().line("unreadable_entry", "key", item.key(), "cause", e.getMessage());
    }

    private static String id(String key) {
        return key.substring(StoreKeys.ENGINES.length());
    }

    /**
     * Returns the configuration in force.
     *
     * @return empty until one was read
     */
    public Optional<Configuration> configuration() {
        return mConfiguration;
    }

    /**
     * Returns the engines that are registered.
     *
     * @return a live view
     */
    public Collection<Engine> engines() {
        return mEngines.values();
    }

    /**
     * Finds an engine.
     *
     * @param id its id
     * @return the engine, or empty if it is gone
     */
    public Optional<Engine> engine(String id) {
        return Optional.ofNullable(mEngines.get(id));
    }

    /**
     * Returns the newest announced version of an adapter.
     *
     * @param adapter the adapter
     * @return 0 if none was announced
     */
    public long version(AdapterKey adapter) {
        return mVersions.getOrDefault(adapter, 0L);
    }

    @Override
    public Object dump() {
        return Map.of(
                "configuration",
                mConfiguration.map(Configuration::version).orElse(-1L),
                "engines",
                mEngines.keySet().toString(),
                "versions",
                mVersions.size());
    }
}
