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
 * Decides which adapters one engine holds, for the node that gives it orders.
 *
 * <p>Load pattern: many adapters are asked for rarely, few often. A wanted adapter takes the place
 * of the idle one that was in use least of the time lately, so that a row of rare ones does not
 * drive out the few that are asked for often; one in use, or used a moment ago, keeps its place.
 * Wants of urgent requests go first.
 *
 * <p>Load pattern: engines crash or are replaced and come back empty. Their base model is loaded
 * before anything else, as no adapter can be without it.
 *
 * <p>Invariants: adapters present, coming and leaving never exceed the engine's places; at most one
 * order is outstanding, and at most one adapter is leaving; an adapter counts as present only once
 * the engine said so. Not safe for concurrent use.
 */
public final class AdapterScheduler {
    /** An order is asked about this often once it may be done; a few times what a call takes. */
    private static final long ADAPTER_POLL_NANOS = Duration.ofMillis(20).toNanos();

    /** Until then a load from the engine's own copy is done. */
    private static final long CACHED_LOAD_NANOS = Duration.ofMillis(60).toNanos();

    /** An adapter that left to make a reign visible comes back within this time. */
    private static final long RELOAD_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Of the time that loads took, what passes before the next question. */
    private static final double LOAD_TIME_FRACTION = 0.95;

    /** Loads on their way to one engine; engines accept no more at a time. */
    private static final int MAX_CONCURRENT_LOADS = 4;

    /** What the newest version is at least, where none was announced. */
    private static final long FIRST_VERSION = 1;

    /** The load of a base model, which takes much longer, is asked about this often. */
    private static final long MODEL_POLL_NANOS = Duration.ofMillis(80).toNanos();

    private final int mSlotCount;
    private final Optional<String> mModelToLoad;
    private final Map<String, Slot> mModels = new HashMap<>();
    private final Map<AdapterKey, Slot> mSlots = new HashMap<>();
    private final DemandQueue mDemand = new DemandQueue();
    private final UsageTracker mUsage = new UsageTracker();

    /** What stands in a place. */
    private enum SlotState {
        LOADING,
        LOADED,
        UNLOADING
    }

    /** A place that is taken. */
    private record Slot(SlotState state, long version, long lastOrderNanos, long sinceNanos) {
        Slot(SlotState phase, long version, long now) {
            this(phase, version, now, now);
        }
    }

    /**
     * Creates the state of an engine.
     *
     * @param places adapters that fit on it
     * @param modelToLoad the base model that an engine without any is to load
     * @param state what it said it holds, after a time without orders
     */
    public AdapterScheduler(int places, Optional<String> modelToLoad, EngineState state) {
        mSlotCount = places;
        mModelToLoad = modelToLoad;
        state.models().forEach(m -> mModels.put(m, new Slot(SlotState.LOADED, 0, 0)));
        state.adapters().forEach((a, v) -> mSlots.put(a, new Slot(SlotState.LOADED, v, 0)));
        state.loading().forEach((a, v) -> mSlots.put(a, new Slot(SlotState.LOADING, v, 0)));
    }

    /**
     * Takes that requests wait for an adapter.
     *
     * @param want the adapter and how long the requests wait
     * @param now the monotonic time in nanoseconds
     */
    public void addDemand(AdapterDemand want, long now) {
        if (!isLoaded(want.adapter(), want.minVersion())) {
            mDemand.add(want, now);
        }
    }

    /**
     * Takes which adapters are in use; to be called regularly.
     *
     * @param inUse tells whether requests run on an adapter, on any node
     * @param now the monotonic time in nanoseconds
     */
    public void sampleUsage(Predicate<AdapterKey> inUse, long now) {
        mUsage.sample(mSlots.keySet(), inUse, now);
    }

    /**
     * Takes that an adapter was used.
     *
     * @param adapter the adapter
     * @param at when, by the monotonic clock
     */
    public void recordUse(AdapterKey adapter, long at) {
        mUsage.recordUse(adapter, at);
    }

    /**
     * Chooses the next order.
     *
     * @param inUse tells whether requests run on an adapter, on any node
     * @param mayLoad tells whether the weight store carries one more load, of this adapter
     * @param loadNanos the time that a load of an adapter takes
     * @param now the monotonic time in nanoseconds
     * @return the order, or empty if there is nothing to do now
     */
    public Optional<AdapterOrder> nextOrder(
            Predicate<AdapterKey> inUse,
            Predicate<AdapterKey> mayLoad,
            ToLongFunction<AdapterKey> loadNanos,
            long now) {
        mDemand.removeExpired(now);
        boolean modelComes =
                mModels.isEmpty()
                        || mModels.values().stream().anyMatch(p -> p.state() != SlotState.LOADED);
        return modelComes
                ? modelLoadOrder(now)
                : statusQuery(loadNanos, now)
                        .or(() -> loadOrder(mayLoad, loadNanos, now))
                        .or(() -> unloadOrder(inUse, mayLoad, loadNanos, now));
    }

    /** An engine carries out nothing else while it loads a base model. */
    private Optional<AdapterOrder> modelLoadOrder(long now) {
        return mModelToLoad
                .filter(
                        m ->
                                !mModels.containsKey(m)
                                        || now - mModels.get(m).lastOrderNanos()
                                                >= MODEL_POLL_NANOS)
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
                .filter(e -> e.getValue().state() != SlotState.LOADED)
                .filter(e -> shouldPoll(e.getKey(), e.getValue(), loadNanos, now))
                .min(Comparator.comparingLong(e -> e.getValue().lastOrderNanos()))
                .map(
                        e ->
                                new AdapterOrder(
                                        actionOf(e.getValue().state()),
                                        e.getKey(),
                                        e.getValue().version(),
                                        true));
    }

    private static boolean shouldPoll(
            AdapterKey adapter, Slot p, ToLongFunction<AdapterKey> loadNanos, long now) {
        long age = now - p.sinceNanos();
        boolean plausible =
                p.state() == SlotState.UNLOADING
                        || age < CACHED_LOAD_NANOS
                        || age >= loadNanos.applyAsLong(adapter) * LOAD_TIME_FRACTION;
        return plausible && now - p.lastOrderNanos() >= ADAPTER_POLL_NANOS;
    }

    private static AdapterOrder.Action actionOf(SlotState phase) {
        return phase == SlotState.UNLOADING ? AdapterOrder.Action.UNLOAD : AdapterOrder.Action.LOAD;
    }

    private Optional<AdapterOrder> loadOrder(
            Predicate<AdapterKey> mayLoad, ToLongFunction<AdapterKey> loadNanos, long now) {
        boolean full =
                mSlots.size() >= mSlotCount || count(SlotState.LOADING) >= MAX_CONCURRENT_LOADS;
        return mDemand.loadableByPriority(loadNanos, now)
                .filter(w -> mModels.containsKey(w.adapter().model()))
                .filter(w -> mSlots.containsKey(w.adapter()) ? isStale(w) : !full)
                .filter(w -> mayLoad.test(w.adapter()))
                .findFirst()
                .map(
                        w ->
                                new AdapterOrder(
                                        AdapterOrder.Action.LOAD,
                                        w.adapter(),
                                        w.minVersion(),
                                        false));
    }

    private boolean isStale(AdapterDemand want) {
        Slot p = mSlots.get(want.adapter());
        return p.state() == SlotState.LOADED && p.version() < want.minVersion();
    }

    private long count(SlotState phase) {
        return mSlots.values().stream().filter(p -> p.state() == phase).count();
    }

    private Optional<AdapterOrder> unloadOrder(
            Predicate<AdapterKey> inUse,
            Predicate<AdapterKey> mayLoad,
            ToLongFunction<AdapterKey> loadNanos,
            long now) {
        long wanted =
                mDemand.loadableByPriority(loadNanos, now)
                        .map(AdapterDemand::adapter)
                        .filter(a -> !mSlots.containsKey(a) && mayLoad.test(a))
                        .count();
        long room = mSlotCount - mSlots.size() + count(SlotState.UNLOADING);
        boolean blocked =
                count(SlotState.LOADING) >= MAX_CONCURRENT_LOADS || count(SlotState.UNLOADING) > 0;
        if (wanted <= room || blocked) {
            return Optional.empty();
        }
        return idleAdapters(inUse, now)
                .filter(a -> !mDemand.contains(a))
                .min(mUsage.leastUsedFirst(now))
                .map(a -> new AdapterOrder(AdapterOrder.Action.UNLOAD, a, 0, false));
    }

    private Stream<AdapterKey> idleAdapters(Predicate<AdapterKey> inUse, long now) {
        return mSlots.entrySet().stream()
                .filter(e -> e.getValue().state() == SlotState.LOADED)
                .map(Map.Entry::getKey)
                .filter(a -> !inUse.test(a))
                .filter(a -> mUsage.isIdle(a, now));
    }

    /**
     * Returns how many more adapters could be loaded now.
     *
     * @param inUse tells whether requests run on an adapter, on any node
     * @param now the monotonic time in nanoseconds
     * @return negative if more are wanted than fit
     */
    public int spareSlots(Predicate<AdapterKey> inUse, long now) {
        boolean hasModel = mModels.values().stream().anyMatch(p -> p.state() == SlotState.LOADED);
        if (!hasModel) {
            return -mSlotCount;
        }
        return mSlotCount - mSlots.size() + (int) idleAdapters(inUse, now).count() - mDemand.size();
    }

    /**
     * Chooses an order that moves the engine's count without harm: an idle adapter leaves and, as
     * it is then wanted, comes back.
     *
     * @param inUse tells whether requests run on an adapter, on any node
     * @param now the monotonic time in nanoseconds
     * @return the order, or empty if no adapter is idle
     */
    public Optional<AdapterOrder> reloadOrder(Predicate<AdapterKey> inUse, long now) {
        return idleAdapters(inUse, now)
                .min(mUsage.leastUsedFirst(now))
                .map(
                        a -> {
                            mDemand.add(
                                    new AdapterDemand(a, 0, 0, now + RELOAD_TIMEOUT_NANOS), now);
                            return new AdapterOrder(AdapterOrder.Action.UNLOAD, a, 0, false);
                        });
    }

    /**
     * Takes the engine's answer to an order.
     *
     * @param order the order
     * @param reply the answer
     * @param now the monotonic time in nanoseconds
     * @return true if what the engine holds has changed
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
                            new Slot(
                                    SlotState.LOADED,
                                    Math.max(FIRST_VERSION, order.version()),
                                    now));
                    mDemand.remove(a);
                    mUsage.onLoaded(a, now);
                } else {
                    mSlots.remove(a);
                }
                return true;
            }
            // An order without an answer may have been accepted; asking again tells.
            case UNDER_WAY, UNKNOWN -> {
                SlotState phase = load ? SlotState.LOADING : SlotState.UNLOADING;
                Slot before = mSlots.get(a);
                boolean same = before != null && before.state() == phase;
                long since = same ? before.sinceNanos() : now;
                mSlots.put(a, new Slot(phase, order.version(), now, since));
                return !same;
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
            case HOLDS -> mModels.put(model, new Slot(SlotState.LOADED, 0, now));
            case UNDER_WAY, UNKNOWN -> mModels.put(model, new Slot(SlotState.LOADING, 0, now));
            default -> mModels.remove(model);
        }
        return reply == OrderReply.HOLDS;
    }

    private boolean isLoaded(AdapterKey adapter, long version) {
        Slot p = mSlots.get(adapter);
        return p != null && p.state() == SlotState.LOADED && p.version() >= version;
    }

    /**
     * Returns the adapters that are ready for requests.
     *
     * @return adapters with their versions; 0 where the newest was loaded
     */
    public Map<AdapterKey, Long> loadedAdapters() {
        Map<AdapterKey, Long> present = new HashMap<>();
        mSlots.forEach(
                (a, p) -> {
                    if (p.state() == SlotState.LOADED) {
                        present.put(a, p.version());
                    }
                });
        return present;
    }

    /**
     * Returns the adapters that are on their way.
     *
     * @return a copy
     */
    public Set<AdapterKey> loadingAdapters() {
        return mSlots.entrySet().stream()
                .filter(e -> e.getValue().state() == SlotState.LOADING)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns how long an adapter has been on its way.
     *
     * @param adapter the adapter
     * @param now the monotonic time in nanoseconds
     * @return nanoseconds, or empty if it isn't on its way
     */
    public Optional<Long> loadingNanos(AdapterKey adapter, long now) {
        return Optional.ofNullable(mSlots.get(adapter))
                .filter(p -> p.state() == SlotState.LOADING)
                .map(p -> now - p.sinceNanos());
    }

    /**
     * Tells whether an order is still being carried out.
     *
     * @return true while an adapter comes or leaves
     */
    public boolean hasPendingOrders() {
        return Stream.concat(mSlots.values().stream(), mModels.values().stream())
                .anyMatch(p -> p.state() != SlotState.LOADED);
    }

    /**
     * Returns how many adapters requests wait for here.
     *
     * @return the number of wants
     */
    public int demandCount() {
        return mDemand.size();
    }
}
