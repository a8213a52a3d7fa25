package org.fescuehollow.dispatch;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.residency.ResidencyTable;

/**
 * Chooses the engine that is asked to load an adapter.
 *
 * <p>Load pattern: several nodes want the same rare adapter at once. They choose alike, as the
 * adapter's hash decides between engines with room, and stay with their choice while it may still
 * come.
 *
 * <p>Not safe for concurrent use.
 */
final class LoadTargets {
    /** A load that isn't done after this time is asked of another engine. */
    private static final long LOAD_PATIENCE_NANOS = Duration.ofMillis(900).toNanos();

    /** Of the time at the engines that have an adapter, what it has to take at the one more. */
    private static final double IDLER_SHARE = 0.6;

    /** Engines that are looked at for one more copy of an adapter. */
    private static final int COPY_CHOICES = 3;

    private final ResidencyTable mResidency;
    private final Map<AdapterKey, LoadTarget> mTargets = new HashMap<>();

    /** The engine that was asked to load an adapter. */
    private record LoadTarget(String engine, long sinceNanos) {}

    /** An engine that could load an adapter, and what decides. */
    private record Choice(EngineLoad engine, int missing, boolean copy, long weight) {
        private static final Comparator<Choice> BEST_FIRST =
                Comparator.comparingInt(Choice::missing)
                        .thenComparing(c -> !c.copy())
                        .thenComparing(Choice::weight, (a, b) -> Long.compareUnsigned(b, a));
    }

    LoadTargets(ResidencyTable residency) {
        mResidency = residency;
    }

    /** Takes that an engine serves an adapter. */
    void served(AdapterKey adapter) {
        mTargets.remove(adapter);
    }

    /** The engine that should load an adapter that no usable engine can serve. */
    Optional<String> forAbsent(CallNeeds call, List<EngineLoad> usable, long now) {
        if (!call.adapter().isAdapter()) {
            return Optional.empty();
        }
        Optional<String> coming =
                usable.stream()
                        .map(e -> e.engine().id())
                        .filter(id -> mResidency.isLoading(id, call.adapter(), now))
                        .findFirst();
        if (coming.isPresent()) {
            return coming;
        }
        LoadTarget t = mTargets.get(call.adapter());
        boolean patient =
                t != null
                        && (now - t.sinceNanos() < LOAD_PATIENCE_NANOS
                                || usable.stream().noneMatch(this::hasRoom));
        boolean keep = patient && usable.stream().anyMatch(e -> e.engine().id().equals(t.engine()));
        if (keep) {
            return Optional.of(t.engine());
        }
        List<EngineLoad> ranked = ranked(call, usable, now);
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        String engine =
                ranked.stream()
                        .map(e -> e.engine().id())
                        .filter(id -> t == null || !id.equals(t.engine()))
                        .findFirst()
                        .orElse(ranked.get(0).engine().id());
        mTargets.put(call.adapter(), new LoadTarget(engine, now));
        mResidency.onLoadRequested(engine);
        return Optional.of(engine);
    }

    private boolean hasRoom(EngineLoad e) {
        return mResidency.spareSlots(e.engine().id()) > 0;
    }

    /**
     * Engines with a holder that lack the adapter: those with room first; then those that held it
     * lately, as they load it much faster and without the weight store. The adapter's hash decides
     * between equals.
     */
    private List<EngineLoad> ranked(CallNeeds call, List<EngineLoad> usable, long now) {
        long key = Rendezvous.hash(call.adapter().toString());
        return usable.stream()
                .filter(e -> !holds(e, call, now))
                .filter(e -> mResidency.holder(e.engine().id(), now).isPresent())
                .map(e -> choice(e, call, key))
                .sorted(Choice.BEST_FIRST)
                .map(Choice::engine)
                .toList();
    }

    private Choice choice(EngineLoad e, CallNeeds call, long key) {
        long weight = Rendezvous.weight(key, Rendezvous.hash(e.engine().id()));
        return new Choice(e, missingPlaces(e, call), heldLately(e, call), weight);
    }

    private boolean heldLately(EngineLoad e, CallNeeds call) {
        return mResidency.wasRecentlyLoaded(e.engine().id(), call.adapter());
    }

    /**
     * Returns how many places an engine lacks. One that keeps a copy counts as having one more: a
     * place comes free about as soon as a load from the weight store is done elsewhere.
     */
    private int missingPlaces(EngineLoad e, CallNeeds call) {
        int copy = heldLately(e, call) ? 1 : 0;
        return Math.max(0, 1 - mResidency.spareSlots(e.engine().id()) - copy);
    }

    private boolean holds(EngineLoad e, CallNeeds call, long now) {
        return mResidency.isResident(e.engine().id(), call.adapter(), call.version(), now);
    }

    /** One more engine for an adapter whose engines are crowded, if it is much less so. */
    Optional<String> forCopy(
            CallNeeds call,
            List<EngineLoad> usable,
            ToDoubleFunction<EngineLoad> score,
            EngineLoad best,
            long now) {
        boolean comes =
                usable.stream()
                        .anyMatch(e -> mResidency.isLoading(e.engine().id(), call.adapter(), now));
        if (comes) {
            return Optional.empty();
        }
        double limit = score.applyAsDouble(best) * IDLER_SHARE;
        return ranked(call, usable, now).stream()
                .filter(this::hasRoom)
                .limit(COPY_CHOICES)
                .filter(e -> score.applyAsDouble(e) < limit)
                .map(e -> e.engine().id())
                .findFirst();
    }
}
