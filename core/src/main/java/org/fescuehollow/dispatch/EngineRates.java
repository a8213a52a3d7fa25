package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.fescuehollow.catalog.Engine;

/**
 * The rates of requests that engines take from all nodes together, and this node's part of each.
 *
 * <p>Invariant: what one incarnation of an engine said doesn't limit another. Not safe for
 * concurrent use.
 */
public final class EngineRates {
    /** A word is told to other nodes for this time, in which each hears from this node. */
    private static final long TELL_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<String, Limit> mLimits = new HashMap<>();
    private final Map<String, FleetRank> mRanks = new HashMap<>();
    private String mSelf = "";
    private Set<String> mOthers = Set.of();

    /** The limit of one incarnation of an engine. */
    private record Limit(Engine engine, SharedRateLimit shared) {}

    /**
     * What an incarnation of an engine said, as nodes tell each other.
     *
     * @param engine the engine's id
     * @param startedMillis the Unix time of its start
     * @param word what it said
     */
    public record EngineWord(String engine, long startedMillis, RateWord word) {}

    /**
     * Sets the nodes that share the rates.
     *
     * @param self the name of this node
     * @param others the names of the other nodes
     */
    public void setNodes(String self, Set<String> others) {
        if (!self.equals(mSelf) || !others.equals(mOthers)) {
            mSelf = self;
            mOthers = Set.copyOf(others);
            mRanks.clear();
        }
    }

    /** Forgets engines that are gone or have restarted. */
    void retain(Collection<Engine> engines) {
        if (!mLimits.isEmpty()) {
            mLimits.values()
                    .removeIf(
                            l -> engines.stream().noneMatch(e -> e.isSameIncarnation(l.engine())));
            mRanks.keySet().retainAll(mLimits.keySet());
        }
    }

    /**
     * Records whether a response of an engine names a rate.
     *
     * @param engine the engine
     * @param perSecond the requests per second that it takes from all nodes, if it names a rate
     * @param now the monotonic time in nanoseconds
     * @return what to tell the other nodes, if the limit came into force or was lifted
     */
    public Optional<EngineWord> onResponse(Engine engine, OptionalDouble perSecond, long now) {
        if (perSecond.isEmpty() && !mLimits.containsKey(engine.id())) {
            return Optional.empty();
        }
        SharedRateLimit shared = limit(engine);
        return shared.onResponse(perSecond, now)
                ? Optional.of(word(engine, shared))
                : Optional.empty();
    }

    /**
     * Records what an engine said to another node.
     *
     * @param engine the engine as this node knows it
     * @param told what the other node tells
     * @param now the monotonic time in nanoseconds
     * @return true if the limit came into force or was lifted
     */
    public boolean onTold(Engine engine, EngineWord told, long now) {
        return engine.startedMillis() == told.startedMillis()
                && limit(engine).merge(told.word(), now);
    }

    private SharedRateLimit limit(Engine engine) {
        Limit known = mLimits.get(engine.id());
        if (known == null || !known.engine().isSameIncarnation(engine)) {
            known = new Limit(engine, new SharedRateLimit());
            mLimits.put(engine.id(), known);
        }
        return known.shared();
    }

    /** Returns whether this node may send a request to an engine now. */
    boolean maySend(Engine engine, long now) {
        Limit limit = mLimits.get(engine.id());
        return limit == null
                || !limit.engine().isSameIncarnation(engine)
                || !limit.shared().isInForce()
                || limit.shared().maySend(rank(engine.id()), now);
    }

    private FleetRank rank(String engine) {
        return mRanks.computeIfAbsent(engine, e -> FleetRank.of(e, mSelf, mOthers));
    }

    /** Records that this node sends a request to an engine. */
    void onSent(String engine) {
        Optional.ofNullable(mLimits.get(engine)).ifPresent(l -> l.shared().onSent());
    }

    /**
     * Returns what engines said lately to this node.
     *
     * @param now the monotonic time in nanoseconds
     * @return a word for each engine of which a rate is known
     */
    public List<EngineWord> words(long now) {
        return mLimits.values().stream()
                .filter(l -> l.shared().heard().isHeard())
                .filter(l -> now - l.shared().heard().lastNanos() < TELL_NANOS)
                .map(l -> word(l.engine(), l.shared()))
                .toList();
    }

    private static EngineWord word(Engine engine, SharedRateLimit shared) {
        return new EngineWord(engine.id(), engine.startedMillis(), shared.heard());
    }

    /**
     * Returns the limits in force.
     *
     * @return the requests per second of all nodes, by the id of the engine
     */
    public Map<String, Double> inForce() {
        Map<String, Double> rates = new HashMap<>();
        mLimits.forEach(
                (id, limit) -> {
                    if (limit.shared().isInForce()) {
                        rates.put(id, limit.shared().word().perSecond());
                    }
                });
        return rates;
    }
}
