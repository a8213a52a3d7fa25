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
 * <p>Load pattern: several nodes request the same rare adapter at the same time. Ties between
 * engines are broken by a hash of the adapter, so the nodes tend to choose the same engine. A
 * choice is kept until the load times out and another engine has a free slot.
 *
 * <p>Not safe for concurrent use.
 */
final class LoadTargetSelector {
    /** A load that isn't done after this time is requested from another engine. */
    private static final long LOAD_TIMEOUT_NANOS = Duration.ofMillis(900).toNanos();

    /**
     * A replica is loaded only on an engine whose score is below this share of the best current
     * engine's score.
     */
    private static final double MAX_REPLICA_SCORE_RATIO = 0.6;

    /** Number of engines considered for a replica. */
    private static final int MAX_REPLICA_CANDIDATES = 3;

    private final ResidencyTable mResidency;
    private final Map<AdapterKey, PendingLoad> mPendingLoads = new HashMap<>();

    /** The engine that was last asked to load an adapter, and when. */
    private record PendingLoad(String engine, long requestedNanos) {}

    /** An engine that could load an adapter, with its ranking criteria. */
    private record Candidate(
            EngineLoad engine, int missingSlots, boolean hasLocalCopy, long hashWeight) {
        private static final Comparator<Candidate> BEST_FIRST =
                Comparator.comparingInt(Candidate::missingSlots)
                        .thenComparing(c -> !c.hasLocalCopy())
                        .thenComparing(Candidate::hashWeight, (a, b) -> Long.compareUnsigned(b, a));
    }

    LoadTargetSelector(ResidencyTable residency) {
        mResidency = residency;
    }

    /** Forgets the pending load of an adapter that an engine can serve. */
    void onAdapterServed(AdapterKey adapter) {
        mPendingLoads.remove(adapter);
    }

    /** Returns the engine that should load an adapter that no usable engine can serve now. */
    Optional<String> selectForAbsentAdapter(
            DispatchRequest request, List<EngineLoad> usable, long now) {
        if (!request.adapter().isAdapter()) {
            return Optional.empty();
        }
        Optional<String> loading =
                usable.stream()
                        .map(load -> load.engine().id())
                        .filter(id -> mResidency.isLoading(id, request.adapter(), now))
                        .findFirst();
        if (loading.isPresent()) {
            return loading;
        }
        PendingLoad pending = mPendingLoads.get(request.adapter());
        boolean waitForPending =
                pending != null
                        && (now - pending.requestedNanos() < LOAD_TIMEOUT_NANOS
                                || usable.stream().noneMatch(this::hasFreeSlot));
        boolean keepPending =
                waitForPending
                        && usable.stream()
                                .anyMatch(load -> load.engine().id().equals(pending.engine()));
        if (keepPending) {
            return Optional.of(pending.engine());
        }
        List<EngineLoad> ranked = rankCandidates(request, usable, now);
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        String engine =
                ranked.stream()
                        .map(load -> load.engine().id())
                        .filter(id -> pending == null || !id.equals(pending.engine()))
                        .findFirst()
                        .orElse(ranked.get(0).engine().id());
        mPendingLoads.put(request.adapter(), new PendingLoad(engine, now));
        mResidency.onLoadRequested(engine);
        return Optional.of(engine);
    }

    private boolean hasFreeSlot(EngineLoad load) {
        return mResidency.spareSlots(load.engine().id()) > 0;
    }

    /**
     * Returns the engines that have a holder and lack the adapter, best first. Engines with a free
     * slot come first, then those that had the adapter loaded recently: they keep a local copy and
     * load it much faster, without the weight store. Ties are broken by a hash of adapter and
     * engine.
     */
    private List<EngineLoad> rankCandidates(
            DispatchRequest request, List<EngineLoad> usable, long now) {
        long adapterHash = Rendezvous.hash(request.adapter().toString());
        return usable.stream()
                .filter(load -> !isResident(load, request, now))
                .filter(load -> mResidency.holder(load.engine().id(), now).isPresent())
                .map(load -> createCandidate(load, request, adapterHash))
                .sorted(Candidate.BEST_FIRST)
                .map(Candidate::engine)
                .toList();
    }

    private Candidate createCandidate(EngineLoad load, DispatchRequest request, long adapterHash) {
        long weight = Rendezvous.weight(adapterHash, Rendezvous.hash(load.engine().id()));
        return new Candidate(
                load, missingSlots(load, request), hasLocalCopy(load, request), weight);
    }

    private boolean hasLocalCopy(EngineLoad load, DispatchRequest request) {
        return mResidency.wasRecentlyLoaded(load.engine().id(), request.adapter());
    }

    /**
     * Returns how many adapter slots an engine lacks. An engine with a local copy counts as having
     * one more slot, because a slot becomes free in about the time that a load from the weight
     * store takes on another engine.
     */
    private int missingSlots(EngineLoad load, DispatchRequest request) {
        int localCopySlot = hasLocalCopy(load, request) ? 1 : 0;
        return Math.max(0, 1 - mResidency.spareSlots(load.engine().id()) - localCopySlot);
    }

    private boolean isResident(EngineLoad load, DispatchRequest request, long now) {
        return mResidency.isResident(
                load.engine().id(), request.adapter(), request.minVersion(), now);
    }

    /**
     * Returns an engine for a replica of an adapter whose engines are busy, if one has a much
     * better score.
     */
    Optional<String> selectForReplica(
            DispatchRequest request,
            List<EngineLoad> usable,
            ToDoubleFunction<EngineLoad> score,
            EngineLoad best,
            long now) {
        boolean isLoading =
                usable.stream()
                        .anyMatch(
                                load ->
                                        mResidency.isLoading(
                                                load.engine().id(), request.adapter(), now));
        if (isLoading) {
            return Optional.empty();
        }
        double maxScore = score.applyAsDouble(best) * MAX_REPLICA_SCORE_RATIO;
        return rankCandidates(request, usable, now).stream()
                .filter(this::hasFreeSlot)
                .limit(MAX_REPLICA_CANDIDATES)
                .filter(load -> score.applyAsDouble(load) < maxScore)
                .map(load -> load.engine().id())
                .findFirst();
    }
}
