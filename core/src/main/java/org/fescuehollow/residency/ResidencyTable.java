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
 * The adapters on each engine and the holder of its lease, as far as this node knows.
 *
 * <p>Updates of the holder, sent between nodes, take precedence over the engine's entry in the
 * store, which is older. If an engine rejects a request because it lacks the adapter, this
 * overrides both until a newer update arrives.
 *
 * <p>Not safe for concurrent use.
 */
public final class ResidencyTable {
    /** A holder counts as silent if the claimants of its engine get no update for this long. */
    private static final long HOLDER_TIMEOUT_NANOS = Duration.ofMillis(1_000).toNanos();

    private final Map<String, HolderUpdate> mHolderUpdates = new HashMap<>();
    private final Map<String, Map<AdapterKey, Long>> mStoreAdapters = new HashMap<>();
    private final Map<String, RecentAdapters> mRecentAdapters = new HashMap<>();
    private long mUpdateTtlNanos = HOLDER_TIMEOUT_NANOS;

    /** The latest update of an engine's holder. */
    private record HolderUpdate(String holder, Holding holding, long receivedNanos) {
        HolderUpdate withHolding(Holding changed) {
            return new HolderUpdate(holder, changed, receivedNanos);
        }
    }

    /** Adapters that an engine had loaded, the most recent last. */
    private static final class RecentAdapters extends LinkedHashMap<AdapterKey, Boolean> {
        private static final long serialVersionUID = 1L;

        /** Engines keep more than 70 adapters in their cache; an outdated entry costs little. */
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
     * Sets how long an update of a holder is valid; in a large fleet updates come less often.
     *
     * @param ttl the time to live; at least the timeout of a silent holder is used
     */
    public void setUpdateTtl(Duration ttl) {
        mUpdateTtlNanos = Math.max(HOLDER_TIMEOUT_NANOS, ttl.toNanos());
    }

    /**
     * Returns the holder of an engine if its last update is recent. Use this on claimants of the
     * engine, which receive frequent updates.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the name of the node, or empty if it is silent
     */
    public Optional<String> activeHolder(String engine, long now) {
        return Optional.ofNullable(mHolderUpdates.get(engine))
                .filter(u -> now - u.receivedNanos() < HOLDER_TIMEOUT_NANOS)
                .map(HolderUpdate::holder);
    }

    /**
     * Handles an engine's entry in the store.
     *
     * @param engine the engine
     */
    public void onStoreEntry(Engine engine) {
        mStoreAdapters.put(engine.id(), new HashMap<>(engine.adapters()));
    }

    /**
     * Handles an update of an engine's holder.
     *
     * @param engine the engine's id
     * @param holder the name of the holder
     * @param holding the state of the engine
     * @param now the monotonic time in nanoseconds
     */
    public void onHolderUpdate(String engine, String holder, Holding holding, long now) {
        mHolderUpdates.put(engine, new HolderUpdate(holder, holding, now));
        RecentAdapters recent = mRecentAdapters.computeIfAbsent(engine, e -> new RecentAdapters());
        holding.adapters().keySet().forEach(a -> recent.put(a, true));
    }

    /**
     * Returns whether an engine had an adapter recently and so probably has it in its cache.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @return true as far as this node knows
     */
    public boolean wasRecentlyLoaded(String engine, AdapterKey adapter) {
        RecentAdapters recent = mRecentAdapters.get(engine);
        return recent != null && recent.containsKey(adapter);
    }

    /**
     * Returns how many more adapters an engine could load now.
     *
     * @param engine the engine's id
     * @return the number of adapters; negative if demand exceeds the slots; 0 if unknown
     */
    public int spareSlots(String engine) {
        return Optional.ofNullable(mHolderUpdates.get(engine))
                .map(u -> u.holding().spare())
                .orElse(0);
    }

    /**
     * Counts one more adapter that this node requests on an engine.
     *
     * @param engine the engine's id
     */
    public void onLoadRequested(String engine) {
        mHolderUpdates.computeIfPresent(
                engine, (e, u) -> u.withHolding(u.holding().withOneLessSpare()));
    }

    /**
     * Returns whether an engine is loading an adapter.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @param now the monotonic time in nanoseconds
     * @return true as far as this node knows
     */
    public boolean isLoading(String engine, AdapterKey adapter, long now) {
        return currentUpdate(engine, now)
                .map(u -> u.holding().coming().contains(adapter))
                .orElse(false);
    }

    /**
     * Returns how many adapters all engines together are loading from the weight store.
     *
     * @param now the monotonic time in nanoseconds
     * @return the count as far as this node knows
     */
    public int storeLoadsInProgress(long now) {
        return mHolderUpdates.values().stream()
                .filter(u -> now - u.receivedNanos() < mUpdateTtlNanos)
                .mapToInt(u -> u.holding().inTransit())
                .sum();
    }

    private Optional<HolderUpdate> currentUpdate(String engine, long now) {
        return Optional.ofNullable(mHolderUpdates.get(engine))
                .filter(u -> now - u.receivedNanos() < mUpdateTtlNanos);
    }

    /**
     * Handles that a node no longer holds an engine.
     *
     * @param engine the engine's id
     * @param holder the name of the node
     */
    public void onHolderReleased(String engine, String holder) {
        mHolderUpdates.computeIfPresent(engine, (e, u) -> u.holder().equals(holder) ? null : u);
    }

    /**
     * Handles that an engine rejected a request because it lacks the adapter.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     */
    public void onAdapterMissing(String engine, AdapterKey adapter) {
        mHolderUpdates.computeIfPresent(
                engine, (e, u) -> u.withHolding(u.holding().without(adapter)));
        Optional.ofNullable(mStoreAdapters.get(engine)).ifPresent(m -> m.remove(adapter));
    }

    /**
     * Removes engines that are gone.
     *
     * @param live the ids of the engines that remain
     */
    public void retainEngines(Set<String> live) {
        mHolderUpdates.keySet().retainAll(live);
        mStoreAdapters.keySet().retainAll(live);
        mRecentAdapters.keySet().retainAll(live);
    }

    /**
     * Returns whether an engine has an adapter loaded.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @param version the lowest acceptable version; 0 for any
     * @param now the monotonic time in nanoseconds
     * @return true as far as this node knows
     */
    public boolean isResident(String engine, AdapterKey adapter, long version, long now) {
        Long v = adapters(engine, now).get(adapter);
        return v != null && v >= version;
    }

    private Map<AdapterKey, Long> adapters(String engine, long now) {
        return currentUpdate(engine, now)
                .map(u -> u.holding().adapters())
                .orElseGet(() -> mStoreAdapters.getOrDefault(engine, Map.of()));
    }

    /**
     * Returns the holder of an engine.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the name of the node, or empty if no update is valid
     */
    public Optional<String> holder(String engine, long now) {
        return currentUpdate(engine, now).map(HolderUpdate::holder);
    }

    /**
     * Returns the contents for a dump.
     *
     * @return holder and holding by engine id
     */
    public Map<String, String> dump() {
        return mHolderUpdates.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                e -> e.getValue().holder() + " " + e.getValue().holding()));
    }
}
