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
    /** A holder that isn't heard for this long is no longer believed; nodes speak each 200 ms. */
    private static final long HOLDER_NANOS = Duration.ofMillis(1_500).toNanos();

    private final Map<String, Holding> mHoldings = new HashMap<>();
    private final Map<String, Map<AdapterKey, Long>> mPublished = new HashMap<>();
    private final Map<String, LatelyHeld> mLately = new HashMap<>();

    /** A holder's word on one engine. */
    private record Holding(
            String holder, Map<AdapterKey, Long> adapters, int spare, long heardNanos) {}

    /** Adapters that an engine held, the most recent last; engines keep copies of as many. */
    private static final class LatelyHeld extends LinkedHashMap<AdapterKey, Boolean> {
        private static final long serialVersionUID = 1L;
        private static final int COPIES = 48;

        LatelyHeld() {
            super(COPIES, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterKey, Boolean> eldest) {
            return size() > COPIES;
        }
    }

    /**
     * Takes what the store says of an engine.
     *
     * @param engine the engine
     */
    public void published(Engine engine) {
        mPublished.put(engine.id(), new HashMap<>(engine.adapters()));
    }

    /**
     * Takes what a holder says of an engine.
     *
     * @param engine the engine's id
     * @param holder the node that gives it orders
     * @param adapters the adapters that are ready, with their versions
     * @param spare how many more it could load now; negative if more are wanted than fit
     * @param now the monotonic time in nanoseconds
     */
    public void held(
            String engine, String holder, Map<AdapterKey, Long> adapters, int spare, long now) {
        mHoldings.put(engine, new Holding(holder, new HashMap<>(adapters), spare, now));
        LatelyHeld lately = mLately.computeIfAbsent(engine, e -> new LatelyHeld());
        adapters.keySet().forEach(a -> lately.put(a, true));
    }

    /**
     * Tells whether an engine had an adapter not long ago, and so probably keeps a copy of it.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @return true as far as this node knows
     */
    public boolean heldLately(String engine, AdapterKey adapter) {
        LatelyHeld lately = mLately.get(engine);
        return lately != null && lately.containsKey(adapter);
    }

    /**
     * Returns how many more adapters an engine could load now.
     *
     * @param engine the engine's id
     * @return negative if more are wanted than fit; 0 if unknown
     */
    public int spare(String engine) {
        return Optional.ofNullable(mHoldings.get(engine)).map(Holding::spare).orElse(0);
    }

    /**
     * Takes that this node asks an engine for one more adapter.
     *
     * @param engine the engine's id
     */
    public void asked(String engine) {
        mHoldings.computeIfPresent(
                engine,
                (e, h) -> new Holding(h.holder(), h.adapters(), h.spare() - 1, h.heardNanos()));
    }

    /**
     * Takes that a node no longer holds an engine.
     *
     * @param engine the engine's id
     * @param holder the node
     */
    public void released(String engine, String holder) {
        mHoldings.computeIfPresent(engine, (e, h) -> h.holder().equals(holder) ? null : h);
    }

    /**
     * Takes that an engine refused a request because it lacks the adapter.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     */
    public void refused(String engine, AdapterKey adapter) {
        Optional.ofNullable(mHoldings.get(engine)).ifPresent(h -> h.adapters().remove(adapter));
        Optional.ofNullable(mPublished.get(engine)).ifPresent(m -> m.remove(adapter));
    }

    /**
     * Forgets engines that are gone.
     *
     * @param live the ids of the engines that remain
     */
    public void retain(Set<String> live) {
        mHoldings.keySet().retainAll(live);
        mPublished.keySet().retainAll(live);
        mLately.keySet().retainAll(live);
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
        Holding h = mHoldings.get(engine);
        return h != null && now - h.heardNanos() < HOLDER_NANOS
                ? h.adapters()
                : mPublished.getOrDefault(engine, Map.of());
    }

    /**
     * Finds the node that gives an engine orders.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the node, or empty if none was heard lately
     */
    public Optional<String> holder(String engine, long now) {
        return Optional.ofNullable(mHoldings.get(engine))
                .filter(h -> now - h.heardNanos() < HOLDER_NANOS)
                .map(Holding::holder);
    }

    /**
     * Returns the beliefs for a dump.
     *
     * @return holder and adapters by engine
     */
    public Map<String, String> dump() {
        return mHoldings.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                e -> e.getValue().holder() + " " + e.getValue().adapters()));
    }
}
