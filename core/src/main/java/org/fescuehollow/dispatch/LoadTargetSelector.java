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
final class LoadTargetSelector {
    /** A load that isn't done after this time is asked of another engine. */
    private static final long LOAD_TIMEOUT_NANOS = Duration.ofMillis(900).toNanos();

    /** Of the time at the engines that have an adapter, what it has to take at the one more. */
    private static final double MAX_REPLICA_SCORE_RATIO = 0.6;

    /** Engines that are looked at for one more copy of an adapter. */
    private static final int MAX_REPLICA_CANDIDATES = 3;

    private final ResidencyTable mResidency;
    private final Map<AdapterKey, PendingLoad> mPendingLoads = new HashMap<>();

    /** The engine that was asked to load an adapter. */
    private record PendingLoad(String engine, long requestedNanos) {}

    /** An engine that could load an adapter, and what decides. */
    private record Candidate(
            EngineLoad engine, int missingSlots, boolean keepsCopy, long hashWeight) {
        private static final Comparator<Candidate> BEST_FIRST =
                Comparator.comparingInt(Candidate::missingSlots)
                        .thenComparing(c -> !c.keepsCopy())
                        .thenComparing(Candidate::hashWeight, (a, b) -> Long.compareUnsigned(b, a));
    }

    LoadTargetSelector(ResidencyTable residency) {
        mResidency = residency;
    }

    /** Takes that an engine serves an adapter. */
    void onAdapterServed(AdapterKey adapter) {
        mPendingLoads.remove(adapter);
    }

    /** The engine that should load an adapter that no usable engine can serve. */
    Optional<String> selectForAbsentAdapter(
            DispatchRequest call, List<EngineLoad> usable, long now) {
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
        PendingLoad t = mPendingLoads.get(call.adapter());
        boolean patient =
                t != null
                        && (now - t.requestedNanos() < LOAD_TIMEOUT_NANOS
                                || usable.stream().noneMatch(this::hasFreeSlot));
        boolean keep = patient && usable.stream().anyMatch(e -> e.engine().id().equals(t.engine()));
        if (keep) {
            return Optional.of(t.engine());
        }
        List<EngineLoad> ranked = rankCandidates(call, usable, now);
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        String engine =
                ranked.stream()
                        .map(e -> e.engine().id())
                        .filter(id -> t == null || !id.equals(t.engine()))
                        .findFirst()
                        .orElse(ranked.get(0).engine().id());
        mPendingLoads.put(call.adapter(), new PendingLoad(engine, now));
        mResidency.onLoadRequested(engine);
        return Optional.of(engine);
    }

    private boolean hasFreeSlot(EngineLoad e) {
        return mResidency.spareSlots(e.engine().id()) > 0;
    }

    /**
     * Engines with a holder that lack the adapter: those with room first; then those that held it
     * lately, as they load it much faster and without the weight store. The adapter's hash decides
     * between equals.
     */
    private List<EngineLoad> rankCandidates(
            DispatchRequest call, List<EngineLoad> usable, long now) {
        long key = Rendezvous.hash(call.adapter().toString());
        return usable.stream()
                .filter(e -> !isResident(e, call, now))
                .filter(e -> mResidency.holder(e.engine().id(), now).isPresent())
                .map(e -> createCandidate(e, call, key))
                .sorted(Candidate.BEST_FIRST)
                .map(Candidate::engine)
                .toList();
    }

    private Candidate createCandidate(EngineLoad e, DispatchRequest call, long key) {
        long weight = Rendezvous.weight(key, Rendezvous.hash(e.engine().id()));
        return new Candidate(e, missingSlots(e, call), keepsCopy(e, call), weight);
    }

    private boolean keepsCopy(EngineLoad e, DispatchRequest call) {
        return mResidency.wasRecentlyLoaded(e.engine().id(), call.adapter());
    }

    /**
     * Returns how many places an engine lacks. One that keeps a copy counts as having one more: a
     * place comes free about as soon as a load from the weight store is done elsewhere.
     */
    private int missingSlots(EngineLoad e, DispatchRequest call) {
        int copy = keepsCopy(e, call) ? 1 : 0;
        return Math.max(0, 1 - mResidency.spareSlots(e.engine().id()) - copy);
    }

    private boolean isResident(EngineLoad e, DispatchRequest call, long now) {
        return mResidency.isResident(e.engine().id(), call.adapter(), call.minVersion(), now);
    }

    /** One more engine for an adapter whose engines are crowded, if it is much less so. */
    Optional<String> selectForReplica(
            DispatchRequest call,
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
        double limit = score.applyAsDouble(best) * MAX_REPLICA_SCORE_RATIO;
        return rankCandidates(call, usable, now).stream()
                .filter(this::hasFreeSlot)
                .limit(MAX_REPLICA_CANDIDATES)
                .filter(e -> score.applyAsDouble(e) < limit)
                .map(e -> e.engine().id())
                .findFirst();
    }
}
