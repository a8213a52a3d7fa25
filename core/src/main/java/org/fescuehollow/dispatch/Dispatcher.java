package org.fescuehollow.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.residency.ResidencyTable;

/**
 * Chooses the engine of each request.
 *
 * <p>Load pattern: prompts are long and share prefixes, few adapters fit on an engine, and a few
 * adapters get most of the requests. Among the engines that have the adapter loaded, the dispatcher
 * prefers the one that is expected to finish the prefill of the prompt first, given the requests of
 * all nodes and the prompt prefix in the engine's KV cache. When all of these are busy, it asks
 * another engine with a free adapter slot to load a replica.
 *
 * <p>Load pattern: more prompts arrive than the engines can prefill. An engine gets no more than it
 * can prefill within the latency objective. The rest waits on this node, where it can still be
 * reordered or rejected instead of delaying all requests on the engine.
 *
 * <p>Invariants: an engine that is draining, in backoff or without the adapter is never chosen, nor
 * is one that takes no more requests of this node now, or whose software the request doesn't
 * accept. Not safe for concurrent use.
 */
public final class Dispatcher {
    /** An engine is overloaded when it runs this many times the mean number of requests. */
    private static final double OVERLOAD_MEAN_RATIO = 1.8;

    /** Below this number, requests don't slow each other enough to justify a replica. */
    private static final int OVERLOAD_MIN_RUNNING = 8;

    /** Share of the objective that the best score must exceed to justify a slot and a load. */
    private static final double REPLICA_OBJECTIVE_SHARE = 0.55;

    /** Servers with at least this recent failure rate are excluded. */
    private static final double MAX_FAILURE_RATE = 0.3;

    private final String mDomain;
    private final ResidencyTable mResidency;
    private final Map<String, EngineLoad> mEngineLoads = new HashMap<>();
    private Map<String, List<EngineLoad>> mActiveByService = Map.of();
    private final LoadTargetSelector mLoadTargets;
    private final ReplicationDemand mReplicationDemand = new ReplicationDemand();
    private final EngineRates mRates = new EngineRates();
    private final Map<String, PrefillThroughput> mPrefillThroughputs = new HashMap<>();
    private Function<String, Optional<EngineSpec>> mSpecs = s -> Optional.empty();

    /**
     * Creates a dispatcher that knows no engines.
     *
     * @param domain the failure domain of this node
     * @param residency the adapters loaded on each engine
     */
    public Dispatcher(String domain, ResidencyTable residency) {
        mDomain = domain;
        mResidency = residency;
        mLoadTargets = new LoadTargetSelector(residency);
    }

    /**
     * Replaces the known engines.
     *
     * @param engines all engines
     * @param specs returns the capacity of the engines of a service
     */
    public void updateEngines(
            Collection<Engine> engines, Function<String, Optional<EngineSpec>> specs) {
        mSpecs = specs;
        Set<String> ids = engines.stream().map(Engine::id).collect(Collectors.toSet());
        mEngineLoads.keySet().retainAll(ids);
        mResidency.retainEngines(ids);
        mRates.retain(engines);
        engines.forEach(
                e -> mEngineLoads.computeIfAbsent(e.id(), id -> new EngineLoad(e)).update(e));
        mActiveByService =
                mEngineLoads.values().stream()
                        .filter(load -> !load.engine().draining())
                        .collect(Collectors.groupingBy(load -> load.engine().service()));
    }

    /**
     * Sets the number of nodes that share the requests.
     *
     * @param count the number of nodes, including this one
     */
    public void setNodeCount(int count) {
        mReplicationDemand.setNodeCount(count);
    }

    /**
     * Returns the rates of requests that engines take.
     *
     * @return the rates
     */
    public EngineRates rates() {
        return mRates;
    }

    /**
     * Records the arrival of a request at this node; called once per request.
     *
     * @param request the request
     * @param now the monotonic time in nanoseconds
     */
    public void onArrival(DispatchRequest request, long now) {
        if (request.adapter().isAdapter()) {
            mReplicationDemand.onRequest(request.adapter(), now);
        }
    }

    /**
     * Decides what to do with a request.
     *
     * @param request the request
     * @param avoided engines that rejected or failed it; used only if no other is available
     * @param now the monotonic time in nanoseconds
     * @return the decision
     */
    public Placement place(DispatchRequest request, Set<String> avoided, long now) {
        List<EngineLoad> usable = usableEngines(request, avoided, now);
        if (usable.isEmpty()) {
            return new Placement.Wait(reasonForNoServer(request, now), Optional.empty());
        }
        EngineFit fit =
                new EngineFit(
                        request,
                        engineSpec(request.service()),
                        prefillThroughput(request.service()),
                        mDomain,
                        now);
        List<EngineLoad> serving = usable.stream().filter(e -> canServe(e, request, now)).toList();
        Optional<EngineLoad> best =
                serving.stream()
                        .filter(load -> !fit.isFull(load))
                        .min(Comparator.comparingDouble(fit::score));
        if (best.isEmpty()) {
            return placeInQueue(request, usable, serving, fit, now);
        }
        mLoadTargets.onAdapterServed(request.adapter());
        boolean needsReplica =
                mReplicationDemand.isFrequent(request.adapter(), now)
                        && (fit.score(best.get()) > replicationThresholdMillis(request)
                                || isOverloaded(best.get(), usable, now));
        Optional<String> replicaTarget =
                needsReplica
                        ? mLoadTargets.selectForReplica(
                                request, usable, fit::score, best.get(), now)
                        : Optional.empty();
        return new Placement.Send(best.get().engine().id(), replicaTarget);
    }

    private Placement placeInQueue(
            DispatchRequest request,
            List<EngineLoad> usable,
            List<EngineLoad> serving,
            EngineFit fit,
            long now) {
        if (serving.isEmpty()) {
            Optional<String> target = mLoadTargets.selectForAbsentAdapter(request, usable, now);
            return new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, target);
        }
        boolean soon = serving.stream().anyMatch(fit::clearsBacklogSoon);
        Optional<String> target =
                soon ? Optional.empty() : mLoadTargets.selectForAbsentAdapter(request, usable, now);
        return new Placement.Wait(Placement.Reason.ENGINES_FULL, target);
    }

    private static boolean isOverloaded(EngineLoad load, List<EngineLoad> usable, long now) {
        int running = load.totalWork(now).running();
        if (running < OVERLOAD_MIN_RUNNING) {
            return false;
        }
        double mean = usable.stream().mapToInt(u -> u.totalWork(now).running()).average().orElse(0);
        return running > mean * OVERLOAD_MEAN_RATIO;
    }

    private List<EngineLoad> usableEngines(DispatchRequest request, Set<String> avoided, long now) {
        List<EngineLoad> available =
                reachableEngines(request, now).stream()
                        .filter(load -> mRates.maySend(load.engine(), now))
                        .toList();
        List<EngineLoad> healthy = excludeFailing(available, now);
        List<EngineLoad> preferred =
                healthy.stream().filter(load -> !avoided.contains(load.engine().id())).toList();
        return preferred.isEmpty() ? healthy : preferred;
    }

    private List<EngineLoad> activeEngines(String service) {
        return mActiveByService.getOrDefault(service, List.of());
    }

    private List<EngineLoad> reachableEngines(DispatchRequest request, long now) {
        return activeEngines(request.service()).stream()
                .filter(load -> request.acceptsSoftwareOf(load.engine()))
                .filter(load -> !load.health().isInBackoff(now))
                .toList();
    }

    private Placement.Reason reasonForNoServer(DispatchRequest request, long now) {
        List<EngineLoad> active = activeEngines(request.service());
        if (!active.isEmpty()
                && active.stream().noneMatch(e -> request.acceptsSoftwareOf(e.engine()))) {
            return Placement.Reason.NO_SERVER_OF_VERSION;
        }
        return reachableEngines(request, now).isEmpty()
                ? Placement.Reason.NO_SERVER
                : Placement.Reason.ENGINES_LIMITED;
    }

    /** Excludes failing servers unless at least half of them fail, which suggests another cause. */
    private static List<EngineLoad> excludeFailing(List<EngineLoad> engines, long now) {
        List<EngineLoad> healthy =
                engines.stream()
                        .filter(load -> load.health().failureRate(now) < MAX_FAILURE_RATE)
                        .toList();
        return healthy.size() * 2 > engines.size() ? healthy : engines;
    }

    private boolean canServe(EngineLoad load, DispatchRequest request, long now) {
        if (!request.needsModelEngine()) {
            return true;
        }
        if (!request.adapter().isAdapter()) {
            return load.engine().models().contains(request.adapter().model());
        }
        return mResidency.isResident(
                load.engine().id(), request.adapter(), request.minVersion(), now);
    }

    private EngineSpec engineSpec(String service) {
        return mSpecs.apply(service).orElse(EngineSpec.NONE);
    }

    private PrefillThroughput prefillThroughput(String service) {
        return mPrefillThroughputs.computeIfAbsent(service, s -> new PrefillThroughput());
    }

    private static double replicationThresholdMillis(DispatchRequest request) {
        return (request.objectiveNanos() - request.arrivalNanos()) / 1e6 * REPLICA_OBJECTIVE_SHARE;
    }

    /**
     * Records that a request was sent to an engine.
     *
     * @param engine the engine's id
     * @param request the request
     * @param now the monotonic time in nanoseconds
     */
    public void onSent(String engine, DispatchRequest request, long now) {
        mRates.onSent(engine);
        long capacity = engineSpec(request.service()).kvCacheTokens();
        findLoad(engine).ifPresent(load -> load.onSent(request, capacity, now));
    }

    /**
     * Records the first event of the response to a request.
     *
     * @param engine the engine's id
     * @param request the request
     * @param now the monotonic time in nanoseconds
     */
    public void onFirstEvent(String engine, DispatchRequest request, long now) {
        findLoad(engine)
                .flatMap(load -> load.onFirstEvent(request, now))
                .ifPresent(
                        r ->
                                prefillThroughput(request.service())
                                        .addSample(r.tokens(), r.millis()));
    }

    /**
     * Records that a request ended on an engine, with or without success.
     *
     * @param engine the engine's id
     * @param request the request
     */
    public void onEnded(String engine, DispatchRequest request) {
        findLoad(engine).ifPresent(load -> load.onEnded(request));
    }

    /**
     * Updates the work that another node reports for an engine.
     *
     * @param engine the engine's id
     * @param node the other node's id
     * @param work the other node's work
     * @param adapters the adapters that the other node's requests use on the engine
     * @param now the monotonic time in nanoseconds
     */
    public void updatePeerWork(
            String engine, String node, EngineLoad.Work work, Set<AdapterKey> adapters, long now) {
        findLoad(engine).ifPresent(load -> load.updatePeerWork(node, work, adapters, now));
    }

    /**
     * Updates the work of all nodes on an engine as its holder reports it.
     *
     * @param engine the engine's id
     * @param fleetWork the work of all nodes
     * @param now the monotonic time in nanoseconds
     */
    public void updateFleetWork(String engine, EngineLoad.Work fleetWork, long now) {
        findLoad(engine).ifPresent(load -> load.updateFleetWork(fleetWork, now));
    }

    /**
     * Returns the work of all nodes on an engine, as far as this node knows it.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the work; {@link EngineLoad.Work#NONE} if the engine is unknown
     */
    public EngineLoad.Work totalWork(String engine, long now) {
        return findLoad(engine).map(load -> load.totalWork(now)).orElse(EngineLoad.Work.NONE);
    }

    /**
     * Returns the health record of an engine; callers report successes and failures to it.
     *
     * @param engine the engine's id
     * @return the record, or empty if the engine is unknown
     */
    public Optional<EngineHealth> health(String engine) {
        return findLoad(engine).map(EngineLoad::health);
    }

    /**
     * Returns this node's own work on an engine.
     *
     * @param engine the engine's id
     * @return the work; {@link EngineLoad.Work#NONE} if the engine is unknown
     */
    public EngineLoad.Work ownWork(String engine) {
        return findLoad(engine).map(EngineLoad::ownWork).orElse(EngineLoad.Work.NONE);
    }

    /**
     * Returns the adapters that this node's requests use on an engine.
     *
     * @param engine the engine's id
     * @return the adapters
     */
    public Set<AdapterKey> ownAdapters(String engine) {
        return findLoad(engine).map(EngineLoad::ownAdapters).orElse(Set.of());
    }

    /**
     * Returns whether requests of any node use an adapter on an engine.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @param now the monotonic time in nanoseconds
     * @return true if this node knows of such a request
     */
    public boolean isInUse(String engine, AdapterKey adapter, long now) {
        return findLoad(engine).map(load -> load.isInUse(adapter, now)).orElse(false);
    }

    private Optional<EngineLoad> findLoad(String engine) {
        return Optional.ofNullable(mEngineLoads.get(engine));
    }
}
