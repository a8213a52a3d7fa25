package org.fescuehollow.dispatch;

import java.util.ArrayList;
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
 * <p>Load pattern: prompts are long and shared, few adapters fit on an engine, and a few adapters
 * get most of the requests. Among the engines that have the adapter, the one goes first that will
 * have read the prompt soonest, counting what all nodes have sent and what the engine keeps of it.
 * When all of them are busy, one more engine that has room is asked to load the adapter.
 *
 * <p>Load pattern: more prompts than engines can read. An engine gets no more than it can read
 * within the latency objective; the rest waits here, where it can still be ordered or refused,
 * instead of making everything late.
 *
 * <p>Invariants: an engine that drains, is unreachable or lacks the adapter is never chosen. Not
 * safe for concurrent use.
 */
public final class Dispatcher {
    /** A running request slows the others by about this much of a step, in milliseconds. */
    private static final double MILLIS_PER_RUNNING_REQUEST = 4.0;

    /** One more engine loads an adapter when the one that has it runs this many times the mean. */
    private static final double OVERLOAD_MEAN_RATIO = 1.8;

    /** Fewer running requests don't slow each other enough to be worth a copy. */
    private static final int OVERLOAD_MIN_RUNNING = 8;

    /**
     * Of the latency objective, how far engines that have an adapter may be behind before one more
     * loads it; a copy costs a place and a load.
     */
    private static final double REPLICATION_OBJECTIVE_SHARE = 0.55;

    /** Memory filled beyond this share makes engines preempt requests. */
    private static final double MAX_KV_CACHE_SHARE = 0.92;

    /** Added for an engine of another failure domain: the way there and back. */
    private static final double CROSS_DOMAIN_PENALTY_MILLIS = 3;

    /** Added for an engine that fails all its requests; about the latency objective. */
    private static final double FAILURE_PENALTY_MILLIS = 1_500;

    /** Of the latency objective, what stays for the way and the first step of writing. */
    private static final double PREFILL_OBJECTIVE_SHARE = 0.8;

    /** A copy of an adapter comes after about this time, in milliseconds. */
    private static final double REPLICA_LOAD_MILLIS = 300;

    /** What may wait unread for a request that has missed its objective, in milliseconds. */
    private static final double MIN_BACKLOG_LIMIT_MILLIS = 150;

    /** A server that failed this share of its requests lately is left out for a while. */
    private static final double MAX_FAILURE_RATE = 0.3;

    private final String mDomain;
    private final ResidencyTable mResidency;
    private final Map<String, EngineLoad> mEngineLoads = new HashMap<>();
    private final LoadTargetSelector mLoadTargets;
    private final ReplicationDemand mAdapterDemand = new ReplicationDemand();
    private final Map<String, PrefillThroughput> mPrefillThroughputs = new HashMap<>();
    private Function<String, Optional<EngineSpec>> mEngineSpecs = s -> Optional.empty();

    /**
     * Creates a dispatcher that knows no engines.
     *
     * @param domain the failure domain of this node
     * @param residency where adapters are
     */
    public Dispatcher(String domain, ResidencyTable residency) {
        mDomain = domain;
        mResidency = residency;
        mLoadTargets = new LoadTargetSelector(residency);
    }

    /**
     * Takes the engines that exist.
     *
     * @param engines all of them
     * @param specs finds what the engines of a service have room for
     */
    public void updateEngines(
            Collection<Engine> engines, Function<String, Optional<EngineSpec>> specs) {
        mEngineSpecs = specs;
        Set<String> ids = engines.stream().map(Engine::id).collect(Collectors.toSet());
        mEngineLoads.keySet().retainAll(ids);
        mResidency.retainEngines(ids);
        engines.forEach(
                e -> mEngineLoads.computeIfAbsent(e.id(), id -> new EngineLoad(e)).update(e));
    }

    /**
     * Takes how many nodes share the requests.
     *
     * @param count this node included
     */
    public void setNodeCount(int count) {
        mAdapterDemand.setNodeCount(count);
    }

    /**
     * Takes that this node got a request, once for each.
     *
     * @param call the request
     * @param now the monotonic time in nanoseconds
     */
    public void onArrival(DispatchRequest call, long now) {
        if (call.adapter().isAdapter()) {
            mAdapterDemand.onRequest(call.adapter(), now);
        }
    }

    /**
     * Decides what to do with a request.
     *
     * @param call the request
     * @param avoided engines that have refused or failed it
     * @param now the monotonic time in nanoseconds
     * @return the decision
     */
    public Placement place(DispatchRequest call, Set<String> avoided, long now) {
        List<EngineLoad> usable = usableEngines(call.service(), avoided, now);
        if (usable.isEmpty()) {
            return new Placement.Wait(Placement.Reason.NO_SERVER, Optional.empty());
        }
        List<EngineLoad> holding = usable.stream().filter(e -> canServe(e, call, now)).toList();
        Optional<EngineLoad> best =
                holding.stream()
                        .filter(e -> !isFull(e, call, now))
                        .min(Comparator.comparingDouble(e -> score(e, call, now)));
        if (best.isEmpty()) {
            return placeInQueue(call, usable, holding, now);
        }
        mLoadTargets.onAdapterServed(call.adapter());
        boolean busy =
                mAdapterDemand.isFrequent(call.adapter(), now)
                        && (score(best.get(), call, now) > replicationThresholdMillis(call)
                                || isOverloaded(best.get(), usable, now));
        Optional<String> more =
                busy
                        ? mLoadTargets.selectForReplica(
                                call, usable, e -> score(e, call, now), best.get(), now)
                        : Optional.empty();
        return new Placement.Send(best.get().engine().id(), more);
    }

    private Placement placeInQueue(
            DispatchRequest call, List<EngineLoad> usable, List<EngineLoad> holding, long now) {
        if (holding.isEmpty()) {
            Optional<String> target = mLoadTargets.selectForAbsentAdapter(call, usable, now);
            return new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, target);
        }
        boolean soon = holding.stream().anyMatch(e -> clearsBacklogSoon(e, call, now));
        Optional<String> target =
                soon ? Optional.empty() : mLoadTargets.selectForAbsentAdapter(call, usable, now);
        return new Placement.Wait(Placement.Reason.ENGINES_FULL, target);
    }

    private boolean clearsBacklogSoon(EngineLoad e, DispatchRequest call, long now) {
        EngineLoad.Work work = e.totalWork(now);
        return !lacksCapacity(e, work, call)
                && excessBacklogMillis(e, work, call, now) < REPLICA_LOAD_MILLIS;
    }

    private static boolean isOverloaded(EngineLoad e, List<EngineLoad> usable, long now) {
        int running = e.totalWork(now).running();
        double mean = usable.stream().mapToInt(u -> u.totalWork(now).running()).average().orElse(0);
        return running >= OVERLOAD_MIN_RUNNING && running > mean * OVERLOAD_MEAN_RATIO;
    }

    private List<EngineLoad> usableEngines(String service, Set<String> avoided, long now) {
        List<EngineLoad> all = new ArrayList<>();
        for (EngineLoad e : mEngineLoads.values()) {
            if (e.engine().service().equals(service) && !e.engine().draining()) {
                all.add(e);
            }
        }
        List<EngineLoad> reachable =
                all.stream().filter(e -> !e.health().isInBackoff(now)).toList();
        List<EngineLoad> open = excludeFailing(reachable, now);
        List<EngineLoad> fresh =
                open.stream().filter(e -> !avoided.contains(e.engine().id())).toList();
        return fresh.isEmpty() ? open : fresh;
    }

    /** Leaves out servers that fail much more than most; if most do, it isn't their fault. */
    private static List<EngineLoad> excludeFailing(List<EngineLoad> engines, long now) {
        List<EngineLoad> good =
                engines.stream()
                        .filter(e -> e.health().failureRate(now) < MAX_FAILURE_RATE)
                        .toList();
        return good.size() * 2 > engines.size() ? good : engines;
    }

    private boolean canServe(EngineLoad e, DispatchRequest call, long now) {
        if (!call.needsModelEngine()) {
            return true;
        }
        if (!call.adapter().isAdapter()) {
            return e.engine().models().contains(call.adapter().model());
        }
        return mResidency.isResident(e.engine().id(), call.adapter(), call.minVersion(), now);
    }

    private boolean isFull(EngineLoad e, DispatchRequest call, long now) {
        EngineLoad.Work work = e.totalWork(now);
        boolean behind = call.needsModelEngine() && excessBacklogMillis(e, work, call, now) > 0;
        return behind || lacksCapacity(e, work, call);
    }

    private boolean lacksCapacity(EngineLoad e, EngineLoad.Work work, DispatchRequest call) {
        long memory = mEngineSpecs.apply(call.service()).map(EngineSpec::kvCacheTokens).orElse(0L);
        boolean noSlot = e.engine().slots() > 0 && work.running() >= e.engine().slots();
        boolean noRoom =
                call.needsModelEngine()
                        && work.running() > 0
                        && work.kvCacheTokens() + call.kvCacheTokens()
                                > memory * MAX_KV_CACHE_SHARE;
        return noSlot || noRoom;
    }

    /** How much longer an engine has to read than lets this request's answer begin in time. */
    private double excessBacklogMillis(
            EngineLoad e, EngineLoad.Work work, DispatchRequest call, long now) {
        PrefillThroughput speed = prefillThroughput(call.service());
        double objective =
                (call.objectiveNanos() - call.arrivalNanos()) / 1e6 * PREFILL_OBJECTIVE_SHARE;
        double left = objective - (now - call.arrivalNanos()) / 1e6;
        double most =
                Math.max(
                        MIN_BACKLOG_LIMIT_MILLIS,
                        left - speed.prefillMillis(e.uncachedTokens(call)));
        return work.pendingPrefillTokens() > 0
                ? speed.prefillMillis(work.pendingPrefillTokens()) - most
                : 0;
    }

    private PrefillThroughput prefillThroughput(String service) {
        return mPrefillThroughputs.computeIfAbsent(service, s -> new PrefillThroughput());
    }

    private double score(EngineLoad e, DispatchRequest call, long now) {
        EngineLoad.Work work = e.totalWork(now);
        double far = e.engine().domain().equals(mDomain) ? 0 : CROSS_DOMAIN_PENALTY_MILLIS;
        double reading =
                call.needsModelEngine()
                        ? prefillThroughput(call.service())
                                .prefillMillis(work.pendingPrefillTokens() + e.uncachedTokens(call))
                        : work.running() * 40.0 / Math.max(1, e.engine().slots());
        return reading
                + work.running() * MILLIS_PER_RUNNING_REQUEST
                + far
                + e.health().failureRate(now) * FAILURE_PENALTY_MILLIS;
    }

    private static double replicationThresholdMillis(DispatchRequest call) {
        return (call.objectiveNanos() - call.arrivalNanos()) / 1e6 * REPLICATION_OBJECTIVE_SHARE;
    }

    /**
     * Takes that a request was sent.
     *
     * @param engine the engine's id
     * @param call the request
     * @param now the monotonic time in nanoseconds
     */
    public void onSent(String engine, DispatchRequest call, long now) {
        long memory = mEngineSpecs.apply(call.service()).map(EngineSpec::kvCacheTokens).orElse(0L);
        findLoad(engine).ifPresent(e -> e.onSent(call, memory, now));
    }

    /**
     * Takes that an engine began to answer a request.
     *
     * @param engine the engine's id
     * @param call the request
     * @param now the monotonic time in nanoseconds
     */
    public void onFirstEvent(String engine, DispatchRequest call, long now) {
        findLoad(engine)
                .flatMap(e -> e.onFirstEvent(call, now))
                .ifPresent(
                        r -> prefillThroughput(call.service()).addSample(r.tokens(), r.millis()));
    }

    /**
     * Takes that a request ended on an engine, however it did.
     *
     * @param engine the engine's id
     * @param call the request
     */
    public void onEnded(String engine, DispatchRequest call) {
        findLoad(engine).ifPresent(e -> e.onEnded(call));
    }

    /**
     * Takes another node's work on an engine.
     *
     * @param engine the engine's id
     * @param node the node
     * @param work its work
     * @param adapters the adapters its requests use there
     * @param now the monotonic time in nanoseconds
     */
    public void updatePeerWork(
            String engine, String node, EngineLoad.Work work, Set<AdapterKey> adapters, long now) {
        findLoad(engine).ifPresent(e -> e.updatePeerWork(node, work, adapters, now));
    }

    /**
     * Takes what the holder of an engine says of all nodes' work there.
     *
     * @param engine the engine's id
     * @param all the work
     * @param now the monotonic time in nanoseconds
     */
    public void updateFleetWork(String engine, EngineLoad.Work all, long now) {
        findLoad(engine).ifPresent(e -> e.updateFleetWork(all, now));
    }

    /**
     * Returns all nodes' work on an engine, as far as this node knows.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the work; none if the engine is gone
     */
    public EngineLoad.Work totalWork(String engine, long now) {
        return findLoad(engine).map(e -> e.totalWork(now)).orElse(EngineLoad.Work.NONE);
    }

    /**
     * Returns an engine's health record, to be told of successes and failures.
     *
     * @param engine the engine's id
     * @return the record, or empty if the engine is gone
     */
    public Optional<EngineHealth> health(String engine) {
        return findLoad(engine).map(EngineLoad::health);
    }

    /**
     * Returns this node's own work on an engine.
     *
     * @param engine the engine's id
     * @return the work; none if the engine is gone
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
     * Tells whether requests of any node use an adapter on an engine.
     *
     * @param engine the engine's id
     * @param adapter the adapter
     * @param now the monotonic time in nanoseconds
     * @return true as far as this node knows
     */
    public boolean isInUse(String engine, AdapterKey adapter, long now) {
        return findLoad(engine).map(e -> e.isInUse(adapter, now)).orElse(false);
    }

    private Optional<EngineLoad> findLoad(String engine) {
        return Optional.ofNullable(mEngineLoads.get(engine));
    }
}
