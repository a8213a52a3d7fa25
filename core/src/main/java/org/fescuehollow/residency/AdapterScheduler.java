package org.fescuehollow.residency;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.EngineState;

/**
 * Decides which adapters one engine loads and unloads, on the node that holds its lease.
 *
 * <p>Load pattern: many adapters are requested rarely, few often. A requested adapter replaces the
 * idle adapter with the lowest recent use, so that a series of rare adapters does not evict the few
 * popular ones. Adapters that are in use or were used a moment ago are not evicted. Demand of
 * urgent requests is served first.
 *
 * <p>Load pattern: engines crash or are replaced and start empty. The base model is loaded before
 * any adapter, as adapters need it.
 *
 * <p>Invariants: the loaded, loading and unloading adapters never exceed the engine's adapter
 * slots; at most one order is outstanding and at most one adapter is unloading; an adapter counts
 * as loaded only after the engine confirmed it. Not safe for concurrent use.
 */
public final class AdapterScheduler {
    /** Interval of status queries for an order that may be done; a few times a call's duration. */
    private static final long ADAPTER_POLL_NANOS = Duration.ofMillis(20).toNanos();

    /** A load from the engine's local cache is done within this time. */
    private static final long CACHED_LOAD_NANOS = Duration.ofMillis(60).toNanos();

    /** Time for reloading an adapter that was unloaded only to confirm the lease. */
    private static final long RELOAD_NANOS = Duration.ofSeconds(2).toNanos();

    /** Fraction of the expected load time after which status queries resume. */
    private static final double LOAD_TIME_FRACTION = 0.95;

    /** Engines accept no more loads than this at a time. */
    private static final int MAX_LOADS = 4;

    /** Lowest version that the newest version can have if none was announced. */
    private static final long FIRST_VERSION = 1;

    /** Interval of status queries for the load of a base model, which takes much longer. */
    private static final long MODEL_POLL_NANOS = Duration.ofMillis(80).toNanos();

    private final int mSlotCount;
    private final Optional<String> mModelToLoad;
    private final Map<String, Slot> mModels = new HashMap<>();
    private final Map<AdapterKey, Slot> mSlots = new HashMap<>();
    private final DemandQueue mDemand = new DemandQueue();
    private final UsageTracker mUsage = new UsageTracker();

    /** State of the adapter or base model in a slot. */
    private enum State {
        LOADING,
        LOADED,
        UNLOADING
    }

    /** An adapter or base model that takes up a slot; times are monotonic. */
    private record Slot(State state, long version, long orderNanos, long sinceNanos) {
        Slot(State state, long version, long now) {
            this(state, version, now, now);
        }
    }

    /**
     * Creates a scheduler for an engine.
     *
     * @param slotCount the number of adapter slots of the engine
     * @param modelToLoad the base model to load if the engine has none
     * @param state what the engine reported after a period without orders
     */
    public AdapterScheduler(int slotCount, Optional<String> modelToLoad, EngineState state) {
        mSlotCount = slotCount;
        mModelToLoad = modelToLoad;
        state.models().forEach(m -> mModels.put(m, new Slot(State.LOADED, 0, 0)));
        state.adapters().forEach((a, v) -> mSlots.put(a, new Slot(State.LOADED, v, 0)));
        state.loading().forEach((a, v) -> mSlots.put(a, new Slot(State.LOADING, v, 0)));
    }

    /**
     * Adds the demand of waiting requests; ignored if a suitable version is already loaded.
     *
     * @param demand the adapter and the deadline of the requests
     * @param now the monotonic time in nanoseconds
     */
    public void addDemand(AdapterDemand demand, long now) {
        if (!isLoaded(demand.adapter(), demand.minVersion())) {
            mDemand.add(demand, now);
        }
    }

    /**
     * Samples which adapters are in use; call this periodically.
     *
     * @param inUse returns whether requests of any node run on an adapter
     * @param now the monotonic time in nanoseconds
     */
    public void sampleUsage(Predicate<AdapterKey> inUse, long now) {
        mUsage.sample(mSlots.keySet(), inUse, now);
    }

    /**
     * Records the use of an adapter.
     *
     * @param adapter the adapter
     * @param at the monotonic time of the use in nanoseconds
     */
    public void recordUse(AdapterKey adapter, long at) {
        mUsage.recordUse(adapter, at);
    }

    /**
     * Chooses the next order.
     *
     * @param inUse returns whether requests of any node run on an adapter
     * @param mayLoad returns whether the weight store has capacity for loading this adapter too
     * @param loadNanos returns the expected load time of an adapter in nanoseconds
     * @param now the monotonic time in nanoseconds
     * @return the order, or empty if none is due
     */
    public Optional<AdapterOrder> nextOrder(
            Predicate<AdapterKey> inUse,
            Predicate<AdapterKey> mayLoad,
            ToLongFunction<AdapterKey> loadNanos,
            long now) {
        mDemand.removeExpired(now);
        boolean modelPending =
                mModels.isEmpty()
                        || mModels.values().stream().anyMatch(s -> s.state() != State.LOADED);
        return modelPending
                ? modelLoadOrder(now)
                : statusQuery(loadNanos, now)
                        .or(() -> loadOrder(mayLoad, loadNanos, now))
                        .or(() -> unloadOrder(inUse, mayLoad, loadNanos, now));
    }

    /** Loads the base model or queries its load; the engine accepts no other order meanwhile. */
    private Optional<AdapterOrder> modelLoadOrder(long now) {
        return mModelToLoad
                .filter(
                        m ->
                                !mModels.containsKey(m)
                                        || now - mModels.get(m).orderNanos() >= MODEL_POLL_NANOS)
                .map(
                        m ->
                                new AdapterOrder(
                                        AdapterOrder.Action.LOAD,
                                        new AdapterKey(m, ""),
                                        0,
                                        mModels.containsKey(m)));
    }

    private Optional<AdapterOrder> statusQuery(ToLongFunction<AdapterKey> loadNanos, long now) {
        return mSlots.entrySet().stream()
                .filter(e -> e.getValue().state() != State.LOADED)
                .filter(e -> shouldPoll(e.getKey(), e.getValue(), loadNanos, now))
                .min(Comparator.comparingLong(e -> e.getValue().orderNanos()))
                .map(
                        e ->
                                new AdapterOrder(
                                        actionOf(e.getValue().state()),
                                        e.getKey(),
                                        e.getValue().version(),
                                        true));
    }

    private static boolean shouldPoll(
            AdapterKey adapter, Slot s, ToLongFunction<AdapterKey> loadNanos, long now) {
        long age = now - s.sinceNanos();
        boolean mayBeDone =
                s.state() == State.UNLOADING
                        || age < CACHED_LOAD_NANOS
                        || age >= loadNanos.applyAsLong(adapter) * LOAD_TIME_FRACTION;
        return mayBeDone && now - s.orderNanos() >= ADAPTER_POLL_NANOS;
    }

    private static AdapterOrder.Action actionOf(State state) {
        return state == State.UNLOADING ? AdapterOrder.Action.UNLOAD : AdapterOrder.Action.LOAD;
    }

    private Optional<AdapterOrder> loadOrder(
            Predicate<AdapterKey> mayLoad, ToLongFunction<AdapterKey> loadNanos, long now) {
        boolean full = mSlots.size() >= mSlotCount || count(State.LOADING) >= MAX_LOADS;
        return mDemand.loadableByPriority(loadNanos, now)
                .filter(d -> mModels.containsKey(d.adapter().model()))
                .filter(d -> mSlots.containsKey(d.adapter()) ? isStale(d) : !full)
                .filter(d -> mayLoad.test(d.adapter()))
                .findFirst()
                .map(
                        d ->
                                new AdapterOrder(
                                        AdapterOrder.Action.LOAD,
                                        d.adapter(),
                                        d.minVersion(),
                                        false));
    }

    private boolean isStale(AdapterDemand demand) {
        Slot s = mSlots.get(demand.adapter());
        return s.state() == State.LOADED && s.version() < demand.minVersion();
    }

    private long count(State state) {
        return mSlots.values().stream().filter(s -> s.state() == state).count();
    }

    private Optional<AdapterOrder> unloadOrder(
            Predicate<AdapterKey> inUse,
            Predicate<AdapterKey> mayLoad,
            ToLongFunction<AdapterKey> loadNanos,
            long now) {
        long missing =
                mDemand.loadableByPriority(loadNanos, now)
                        .map(AdapterDemand::adapter)
                        .filter(a -> !mSlots.containsKey(a) && mayLoad.test(a))
                        .count();
        long freeSlots = mSlotCount - mSlots.size() + count(State.UNLOADING);
        boolean blocked = count(State.LOADING) >= MAX_LOADS || count(State.UNLOADING) > 0;
        if (missing <= freeSlots || blocked) {
            return Optional.empty();
        }
        return idleAdapters(inUse, now)
                .filter(a -> !mDemand.contains(a))
                .min(mUsage.leastUsedFirst(now))
                .map(a -> new AdapterOrder(AdapterOrder.Action.UNLOAD, a, 0, false));
    }

    private Stream<AdapterKey> idleAdapters(Predicate<AdapterKey> inUse, long now) {
        return mSlots.entrySet().stream()
                .filter(e -> e.getValue().state() == State.LOADED)
                .map(Map.Entry::getKey)
                .filter(a -> !inUse.test(a))
                .filter(a -> mUsage.isIdle(a, now));
    }

    /**
     * Returns how many more adapters could be loaded now, counting idle ones as replaceable.
     *
     * @param inUse returns whether requests of any node run on an adapter
     * @param now the monotonic time in nanoseconds
     * @return the number of adapters; negative if demand exceeds the slots
     */
    public int spareSlots(Predicate<AdapterKey> inUse, long now) {
        boolean hasModel = mModels.values().stream().anyMatch(s -> s.state() == State.LOADED);
        if (!hasModel) {
            return -mSlotCount;
        }
        return mSlotCount - mSlots.size() + (int) idleAdapters(inUse, now).count() - mDemand.size();
    }

    /**
     * Chooses an order that only serves to move the engine's order count: unloads an idle adapter
     * and adds demand that reloads it.
     *
     * @param inUse returns whether requests of any node run on an adapter
     * @param now the monotonic time in nanoseconds
     * @return the order, or empty if no adapter is idle
     */
    public Optional<AdapterOrder> reloadOrder(Predicate<AdapterKey> inUse, long now) {
        return idleAdapters(inUse, now)
                .min(mUsage.leastUsedFirst(now))
                .map(
                        a -> {
                            mDemand.add(new AdapterDemand(a, 0, 0, now + RELOAD_NANOS), now);
                            return new AdapterOrder(AdapterOrder.Action.UNLOAD, a, 0, false);
                        });
    }

    /**
     * Handles the engine's reply to an order.
     *
     * @param order the order
     * @param reply the reply
     * @param now the monotonic time in nanoseconds
     * @return true if the adapters in the slots changed or the base model was loaded
     */
    public boolean onReply(AdapterOrder order, OrderReply reply, long now) {
        AdapterKey a = order.adapter();
        if (!a.isAdapter()) {
            return onModelReply(a.model(), reply, now);
        }
        boolean load = order.action() == AdapterOrder.Action.LOAD;
        switch (reply) {
            case HOLDS -> {
                if (load) {
                    mSlots.put(
                            a,
                            new Slot(State.LOADED, Math.max(FIRST_VERSION, order.version()), now));
                    mDemand.remove(a);
                    mUsage.onLoaded(a, now);
                } else {
                    mSlots.remove(a);
                }
                return true;
            }
            // An unanswered order may have been accepted; a status query will show.
            case UNDER_WAY, UNKNOWN -> {
                State state = load ? State.LOADING : State.UNLOADING;
                Slot previous = mSlots.get(a);
                boolean unchanged = previous != null && previous.state() == state;
                long since = unchanged ? previous.sinceNanos() : now;
                mSlots.put(a, new Slot(state, order.version(), now, since));
                return !unchanged;
            }
            case IMPOSSIBLE -> {
                mDemand.remove(a);
                return false;
            }
            default -> {
                return false;
            }
        }
    }

    private boolean onModelReply(String model, OrderReply reply, long now) {
        switch (reply) {
            case HOLDS -> mModels.put(model, new Slot(State.LOADED, 0, now));
            case UNDER_WAY, UNKNOWN -> mModels.put(model, new Slot(State.LOADING, 0, now));
            default -> mModels.remove(model);
        }
        return reply == OrderReply.HOLDS;
    }

    private boolean isLoaded(AdapterKey adapter, long version) {
        Slot s = mSlots.get(adapter);
        return s != null && s.state() == State.LOADED && s.version() >= version;
    }

    /**
     * Returns the loaded adapters.
     *
     * @return the adapters with their versions; 0 if the engine did not report the version
     */
    public Map<AdapterKey, Long> loadedAdapters() {
        Map<AdapterKey, Long> loaded = new HashMap<>();
        mSlots.forEach(
                (a, s) -> {
                    if (s.state() == State.LOADED) {
                        loaded.put(a, s.version());
                    }
                });
        return loaded;
    }

    /**
     * Returns the adapters that are being loaded.
     *
     * @return a copy
     */
    public Set<AdapterKey> loadingAdapters() {
        return mSlots.entrySet().stream()
                .filter(e -> e.getValue().state() == State.LOADING)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns how long an adapter has been loading.
     *
     * @param adapter the adapter
     * @param now the monotonic time in nanoseconds
     * @return the time in nanoseconds, or empty if it isn't loading
     */
    public Optional<Long> loadingNanos(AdapterKey adapter, long now) {
        return Optional.ofNullable(mSlots.get(adapter))
                .filter(s -> s.state() == State.LOADING)
                .map(s -> now - s.sinceNanos());
    }

    /**
     * Returns whether an order is still being carried out.
     *
     * @return true while an adapter or base model is loading or an adapter is unloading
     */
    public boolean hasPendingOrders() {
        return Stream.concat(mSlots.values().stream(), mModels.values().stream())
                .anyMatch(s -> s.state() != State.LOADED);
    }

    /**
     * Returns how many adapters requests wait for on this engine.
     *
     * @return the number of adapters
     */
    public int demandCount() {
        return mDemand.size();
    }
}
