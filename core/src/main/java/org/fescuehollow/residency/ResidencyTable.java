package org.fescuehollow.residency;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;

/**
 * What this node believes of the adapters on each engine, and who holds the engine.
 *
 * <p>The holder's word, told between nodes, goes before the engine's own entry in the store, which
 * is older. An engine's refusal goes before both until a newer word comes.
 *
 * <p>Not safe for concurrent use.
 */
public final class ResidencyTable {
    /** A holder that isn't heard for this long by those that may claim its engine is silent. */
    private static final long HOLDER_TIMEOUT_NANOS = Duration.ofMillis(1_000).toNanos();

    private final Map<String, HolderUpdate> mHolderUpdates = new HashMap<>();
    private final Map<String, Map<AdapterKey, Long>> mStoreAdapters = new HashMap<>();
    private final Map<String, RecentAdapters> mRecentAdapters = new HashMap<>();
    private long mUpdateTtlNanos = HOLDER_TIMEOUT_NANOS;

    /** A holder's word on one engine. */
    private record HolderUpdate(String holder, Holding holding, long receivedNanos) {
        HolderUpdate withHolding(Holding changed) {
            return new HolderUpdate(holder, changed, receivedNanos);
        }
    }

    /** Adapters that an engine held, the most recent last. */
    private static final class RecentAdapters extends LinkedHashMap<AdapterKey, Boolean> {
        private static final long serialVersionUID = 1L;

        /** Engines were seen to keep copies of more than 70; a copy that is gone costs little. */
        private static final int MAX_ADAPTERS = 256;

        RecentAdapters() {
            super(MAX_ADAPTERS, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterKey, Boolean> eldest) {
            return size() > MAX_ADAPTERS;
        }
    }

    /**
     * Sets how long a holder's word is believed; nodes of a large fleet are heard less often.
     *
     * @param trust the time
     */
    public void setUpdateTtl(Duration trust) {
        mUpdateTtlNanos = Math.max(HOLDER_TIMEOUT_NANOS, trust.toNanos());
    }

    /**
     * Finds the node that gives an engine orders, if it was heard a moment ago. Nodes that may
     * claim the engine hear its holder this often.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the node, or empty if it is silent
     */
    public Optional<String> activeHolder(String engine, long now) {
        return Optional.ofNullable(mHolderUpdates.get(engine))
                .filter(w -> now - w.receivedNanos() < HOLDER_TIMEOUT_NANOS)
                .map(HolderUpdate::holder);
    }

    /**
     * Takes what the store says of an engine.
     *
     * @param engine the engine
     */
    public void onStoreEntry(Engine engine) {
        mStoreAdapters.put(engine.id(), new HashMap<>(engine.adapters()));
    }

    /**
     * Takes what a holder says of an engine.
     *
     * @param engine the engine's id
     * @param holder the node that gives it orders
     * @param holding its word
     * @param now the monotonic time in nanoseconds
     */
    public void onHolderUpdate(String engine, String holder, Holding holding, long now) {
        mHolderUpdates.put(engine, new HolderUpdate(holder, holding, now));
        RecentAdapters lately = mRecentAdapters.computeIfAbsent(engine, e -> new RecentAdapters());
        holding.adapters().keySet().forEach(a -> lately.put(a, true));
    }

    /**
     * Tells whether an engine had an adapter not long ago, and so probably keeps a copy of it.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @return true as far as this node knows
     */
    public boolean wasRecentlyLoaded(String engine, AdapterKey adapter) {
        RecentAdapters lately = mRecentAdapters.get(engine);
        return lately != null && lately.containsKey(adapter);
    }

    /**
     * Returns how many more adapters an engine could load now.
     *
     * @param engine the engine's id
     * @return negative if more are wanted than fit; 0 if unknown
     */
    public int spareSlots(String engine) {
        return Optional.ofNullable(mHolderUpdates.get(engine))
                .map(w -> w.holding().spare())
                .orElse(0);
    }

    /**
     * Takes that this node asks an engine for one more adapter.
     *
     * @param engine the engine's id
     */
    public void onLoadRequested(String engine) {
        mHolderUpdates.computeIfPresent(
                engine, (e, w) -> w.withHolding(w.holding().withOneLessSpare()));
    }

    /**
     * Tells whether an adapter is on its way to an engine.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @param now the monotonic time in nanoseconds
     * @return true as far as this node knows
     */
    public boolean isLoading(String engine, AdapterKey adapter, long now) {
        return currentUpdate(engine, now)
                .map(w -> w.holding().coming().contains(adapter))
                .orElse(false);
    }

    /**
     * Returns how many adapters are on their way from the weight store, over all engines.
     *
     * @param now the monotonic time in nanoseconds
     * @return the count as far as this node knows
     */
    public int storeLoadsInProgress(long now) {
        return mHolderUpdates.values().stream()
                .filter(w -> now - w.receivedNanos() < mUpdateTtlNanos)
                .mapToInt(w -> w.holding().inTransit())
                .sum();
    }

    private Optional<HolderUpdate> currentUpdate(String engine, long now) {
        return Optional.ofNullable(mHolderUpdates.get(engine))
                .filter(w -> now - w.receivedNanos() < mUpdateTtlNanos);
    }

    /**
     * Takes that a node no longer holds an engine.
     *
     * @param engine the engine's id
     * @param holder the node
     */
    public void onHolderReleased(String engine, String holder) {
        mHolderUpdates.computeIfPresent(engine, (e, h) -> h.holder().equals(holder) ? null : h);
    }

    /**
     * Takes that an engine refused a request because it lacks the adapter.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     */
    public void onAdapterMissing(String engine, AdapterKey adapter) {
        mHolderUpdates.computeIfPresent(
                engine, (e, w) -> w.withHolding(w.holding().without(adapter)));
        Optional.ofNullable(mStoreAdapters.get(engine)).ifPresent(m -> m.remove(adapter));
    }

    /**
     * Forgets engines that are gone.
     *
     * @param live the ids of the engines that remain
     */
    public void retainEngines(Set<String> live) {
        mHolderUpdates.keySet().retainAll(live);
        mStoreAdapters.keySet().retainAll(live);
        mRecentAdapters.keySet().retainAll(live);
    }

    /**
     * Tells whether an engine has an adapter ready.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @param version the least version that will do; 0 if any
     * @param now the monotonic time in nanoseconds
     * @return true as far as this node knows
     */
    public boolean isResident(String engine, AdapterKey adapter, long version, long now) {
        Long v = adapters(engine, now).get(adapter);
        return v != null && v >= version;
    }

    private Map<AdapterKey, Long> adapters(String engine, long now) {
        return currentUpdate(engine, now)
                .map(w -> w.holding().adapters())
                .orElseGet(() -> mStoreAdapters.getOrDefault(engine, Map.of()));
    }

    /**
     * Finds the node that gives an engine orders.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the node, or empty if none was heard lately
     */
    public Optional<String> holder(String engine, long now) {
        return currentUpdate(engine, now).map(HolderUpdate::holder);
    }

    /**
     * Returns the beliefs for a dump.
     *
     * @return holder and adapters by engine
     */
    public Map<String, String> dump() {
        return mHolderUpdates.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                e -> e.getValue().holder() + " " + e.getValue().holding()));
    }
}
