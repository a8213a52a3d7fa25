package org.fescuehollow.residency;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.EngineState;

/**
 * Decides which adapters one engine holds, for the node that gives it orders.
 *
 * <p>Load pattern: many adapters are asked for rarely, few often. A wanted adapter takes the place
 * of the one unused for longest; one in use, or used a moment ago, keeps its place.
 *
 * <p>Load pattern: engines crash or are replaced and come back empty. Their base model is loaded
 * before anything else, as no adapter can be without it.
 *
 * <p>Invariants: adapters present, coming and leaving never exceed the engine's places; at most one
 * order is outstanding; an adapter counts as present only once the engine said so. Not safe for
 * concurrent use.
 */
public final class AdapterKeeper {
    /** Nodes tell at once which adapters they use; an adapter unused for longer is idle. */
    private static final long LEAST_IDLE_NANOS = Duration.ofMillis(80).toNanos();

    /** A load is asked about this often; about the time that an order takes. */
    private static final long ASK_NANOS = Duration.ofMillis(15).toNanos();

    /** A want that nobody repeats for this long is dropped; nodes repeat theirs more often. */
    private static final long WANT_NANOS = Duration.ofMillis(500).toNanos();

    /** Loads on their way to one engine; engines accept no more at a time. */
    private static final int MOST_COMING = 4;

    /** What the newest version is at least, where none was announced. */
    private static final long FIRST_VERSION = 1;

    /** The load of a base model, which takes much longer, is asked about this often. */
    private static final long ASK_MODEL_NANOS = Duration.ofMillis(80).toNanos();

    private final int mPlaces;
    private final Optional<String> mModelToLoad;
    private final Map<String, Place> mModels = new HashMap<>();
    private final Map<AdapterKey, Place> mTaken = new HashMap<>();
    private final Map<AdapterKey, Want> mWants = new LinkedHashMap<>();
    private final Map<AdapterKey, Long> mLastUse = new HashMap<>();

    /** What stands in a place. */
    private enum Phase {
        COMING,
        PRESENT,
        LEAVING
    }

    /** A place that is taken. */
    private record Place(Phase phase, long version, long askedNanos) {}

    /** An adapter that requests wait for. */
    private record Want(long version, long untilNanos) {}

    /**
     * Creates the state of an engine.
     *
     * @param places adapters that fit on it
     * @param modelToLoad the base model that an engine without any is to load
     * @param state what it said it holds, after a time without orders
     */
    public AdapterKeeper(int places, Optional<String> modelToLoad, EngineState state) {
        mPlaces = places;
        mModelToLoad = modelToLoad;
        state.models().forEach(m -> mModels.put(m, new Place(Phase.PRESENT, 0, 0)));
        state.adapters().forEach((a, v) -> mTaken.put(a, new Place(Phase.PRESENT, v, 0)));
        state.coming().forEach((a, v) -> mTaken.put(a, new Place(Phase.COMING, v, 0)));
    }

    /**
     * Takes that requests wait for an adapter.
     *
     * @param adapter the adapter
     * @param version the least version that will do; 0 if any
     * @param now the monotonic time in nanoseconds
     */
    public void want(AdapterKey adapter, long version, long now) {
        if (!isPresent(adapter, version)) {
            mWants.put(adapter, new Want(version, now + WANT_NANOS));
        }
    }

    /**
     * Takes that an adapter was used.
     *
     * @param adapter the adapter
     * @param at when, by the monotonic clock
     */
    public void used(AdapterKey adapter, long at) {
        mLastUse.merge(adapter, at, Math::max);
    }

    /**
     * Chooses the next order.
     *
     * @param inUse tells whether requests run on an adapter, on any node
     * @param now the monotonic time in nanoseconds
     * @return the order, or empty if there is nothing to do now
     */
    public Optional<AdapterOrder> next(Predicate<AdapterKey> inUse, long now) {
        mWants.values().removeIf(w -> w.untilNanos() < now);
        boolean modelComes =
                mModels.isEmpty()
                        || mModels.values().stream().anyMatch(p -> p.phase() != Phase.PRESENT);
        return modelComes
                ? model(now)
                : question(now).or(() -> load(now)).or(() -> unload(inUse, now));
    }

    /** An engine carries out nothing else while it loads a base model. */
    private Optional<AdapterOrder> model(long now) {
        return mModelToLoad
                .filter(
                        m ->
                                !mModels.containsKey(m)
                                        || now - mModels.get(m).askedNanos() >= ASK_MODEL_NANOS)
                .map(
                        m ->
                                new AdapterOrder(
                                        AdapterOrder.Action.LOAD,
                                        new AdapterKey(m, ""),
                                        0,
                                        mModels.containsKey(m)));
    }

    private Optional<AdapterOrder> question(long now) {
        return mTaken.entrySet().stream()
                .filter(e -> e.getValue().phase() != Phase.PRESENT)
                .filter(e -> now - e.getValue().askedNanos() >= ASK_NANOS)
                .min(Comparator.comparingLong(e -> e.getValue().askedNanos()))
                .map(
                        e ->
                                new AdapterOrder(
                                        actionOf(e.getValue().phase()),
                                        e.getKey(),
                                        e.getValue().version(),
                                        true));
    }

    private static AdapterOrder.Action actionOf(Phase phase) {
        return phase == Phase.LEAVING ? AdapterOrder.Action.UNLOAD : AdapterOrder.Action.LOAD;
    }

    private Optional<AdapterOrder> load(long now) {
        boolean full = mTaken.size() >= mPlaces || count(Phase.COMING) >= MOST_COMING;
        return mWants.entrySet().stream()
                .filter(e -> mModels.containsKey(e.getKey().model()))
                .filter(e -> mTaken.containsKey(e.getKey()) ? isStale(e) : !full)
                .findFirst()
                .map(
                        e ->
                                new AdapterOrder(
                                        AdapterOrder.Action.LOAD,
                                        e.getKey(),
                                        e.getValue().version(),
                                        false));
    }

    private boolean isStale(Map.Entry<AdapterKey, Want> want) {
        Place p = mTaken.get(want.getKey());
        return p.phase() == Phase.PRESENT && p.version() < want.getValue().version();
    }

    private long count(Phase phase) {
        return mTaken.values().stream().filter(p -> p.phase() == phase).count();
    }

    private Optional<AdapterOrder> unload(Predicate<AdapterKey> inUse, long now) {
        long wanted = mWants.keySet().stream().filter(a -> !mTaken.containsKey(a)).count();
        long room = mPlaces - mTaken.size() + count(Phase.LEAVING);
        if (wanted <= room || count(Phase.COMING) >= MOST_COMING) {
            return Optional.empty();
        }
        return idle(inUse, now)
                .filter(a -> !mWants.containsKey(a))
                .min(Comparator.comparingLong(a -> lastUse(a, now)))
                .map(a -> new AdapterOrder(AdapterOrder.Action.UNLOAD, a, 0, false));
    }

    private Stream<AdapterKey> idle(Predicate<AdapterKey> inUse, long now) {
        return mTaken.entrySet().stream()
                .filter(e -> e.getValue().phase() == Phase.PRESENT)
                .map(Map.Entry::getKey)
                .filter(a -> !inUse.test(a))
                .filter(a -> now - lastUse(a, now) >= LEAST_IDLE_NANOS);
    }

    /**
     * Returns how many more adapters could be loaded now.
     *
     * @param inUse tells whether requests run on an adapter, on any node
     * @param now the monotonic time in nanoseconds
     * @return negative if more are wanted than fit
     */
    public int spare(Predicate<AdapterKey> inUse, long now) {
        boolean hasModel = mModels.values().stream().anyMatch(p -> p.phase() == Phase.PRESENT);
        if (!hasModel) {
            return -mPlaces;
        }
        return mPlaces - mTaken.size() + (int) idle(inUse, now).count() - mWants.size();
    }

    private long lastUse(AdapterKey adapter, long now) {
        return mLastUse.getOrDefault(adapter, now - Duration.ofHours(1).toNanos());
    }

    /**
     * Chooses an order that moves the engine's count without harm: an idle adapter leaves and, as
     * it is then wanted, comes back.
     *
     * @param inUse tells whether requests run on an adapter, on any node
     * @param now the monotonic time in nanoseconds
     * @return the order, or empty if no adapter is idle
     */
    public Optional<AdapterOrder> visibleOrder(Predicate<AdapterKey> inUse, long now) {
        return idle(inUse, now)
                .min(Comparator.comparingLong(a -> lastUse(a, now)))
                .map(
                        a -> {
                            mWants.put(a, new Want(0, now + WANT_NANOS));
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
    public boolean answered(AdapterOrder order, OrderReply reply, long now) {
        AdapterKey a = order.adapter();
        if (!a.isAdapter()) {
            return modelAnswered(a.model(), reply, now);
        }
        boolean load = order.action() == AdapterOrder.Action.LOAD;
        switch (reply) {
            case HOLDS -> {
                if (load) {
                    mTaken.put(a, new Place(Phase.PRESENT, Math.max(FIRST_VERSION, order.version()), now));
                    mWants.remove(a);
                    mLastUse.merge(a, now, Math::max);
                } else {
                    mTaken.remove(a);
                }
                return true;
            }
            // An order without an answer may have been accepted; asking again tells.
            case UNDER_WAY, UNKNOWN -> {
                Phase phase = load ? Phase.COMING : Phase.LEAVING;
                Place before = mTaken.put(a, new Place(phase, order.version(), now));
                return before == null || before.phase() != phase;
            }
            case IMPOSSIBLE -> {
                mWants.remove(a);
                return false;
            }
            default -> {
                return false;
            }
        }
    }

    private boolean modelAnswered(String model, OrderReply reply, long now) {
        switch (reply) {
            case HOLDS -> mModels.put(model, new Place(Phase.PRESENT, 0, now));
            case UNDER_WAY, UNKNOWN -> mModels.put(model, new Place(Phase.COMING, 0, now));
            default -> mModels.remove(model);
        }
        return reply == OrderReply.HOLDS;
    }

    private boolean isPresent(AdapterKey adapter, long version) {
        Place p = mTaken.get(adapter);
        return p != null && p.phase() == Phase.PRESENT && p.version() >= version;
    }

    /**
     * Returns the adapters that are ready for requests.
     *
     * @return adapters with their versions; 0 where the newest was loaded
     */
    public Map<AdapterKey, Long> present() {
        Map<AdapterKey, Long> present = new HashMap<>();
        mTaken.forEach(
                (a, p) -> {
                    if (p.phase() == Phase.PRESENT) {
                        present.put(a, p.version());
                    }
                });
        return present;
    }

    /**
     * Tells whether an order is still being carried out.
     *
     * @return true while an adapter comes or leaves
     */
    public boolean hasUnfinished() {
        return Stream.concat(mTaken.values().stream(), mModels.values().stream())
                .anyMatch(p -> p.phase() != Phase.PRESENT);
    }

    /**
     * Returns how many adapters requests wait for here.
     *
     * @return the number of wants
     */
    public int wanted() {
        return mWants.size();
    }
}
