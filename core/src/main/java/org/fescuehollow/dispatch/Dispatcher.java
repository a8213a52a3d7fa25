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
    private static final double RUNNING_MILLIS = 4.0;

    /** One more engine loads an adapter when the one that has it runs this many times the mean. */
    private static final double CROWDED_TIMES = 1.8;

    /** Fewer running requests don't slow each other enough to be worth a copy. */
    private static final int CROWDED_LEAST = 8;

    /**
     * Of the latency objective, how far engines that have an adapter may be behind before one more
     * loads it; a copy costs a place and a load.
     */
    private static final double SPREAD_SHARE = 0.55;

    /** Memory filled beyond this share makes engines preempt requests. */
    private static final double CACHE_SHARE = 0.92;

    /** Added for an engine of another failure domain: the way there and back. */
    private static final double FAR_MILLIS = 3;

    /** Added for an engine that fails all its requests; about the latency objective. */
    private static final double FAILING_MILLIS = 1_500;

    /** Of the latency objective, what stays for the way and the first step of writing. */
    private static final double OBJECTIVE_SHARE = 0.8;

    /** A copy of an adapter comes after about this time, in milliseconds. */
    private static final double COPY_MILLIS = 300;

    /** What may wait unread for a request that has missed its objective, in milliseconds. */
    private static final double LATE_MILLIS = 150;

    /** A server that failed this share of its requests lately is left out for a while. */
    private static final double FAILING_SHARE = 0.3;

    private final String mDomain;
    private final ResidencyTable mResidency;
    private final Map<String, EngineLoad> mEngines = new HashMap<>();
    private final LoadTargets mTargets;
    private final CopyDemand mDemand = new CopyDemand();
    private final Map<String, ReadingSpeed> mSpeeds = new HashMap<>();
    private Function<String, Optional<EngineSpec>> mSpecs = s -> Optional.empty();

    /**
     * Creates a dispatcher that knows no engines.
     *
     * @param domain the failure domain of this node
     * @param residency where adapters are
     */
    public Dispatcher(String domain, ResidencyTable residency) {
        mDomain = domain;
        mResidency = residency;
        mTargets = new LoadTargets(residency);
    }

    /**
     * Takes the engines that exist.
     *
     * @param engines all of them
     * @param specs finds what the engines of a service have room for
     */
    public void engines(Collection<Engine> engines, Function<String, Optional<EngineSpec>> specs) {
        mSpecs = specs;
        Set<String> ids = engines.stream().map(Engine::id).collect(Collectors.toSet());
        mEngines.keySet().retainAll(ids);
        mResidency.retainEngines(ids);
        engines.forEach(e -> mEngines.computeIfAbsent(e.id(), id -> new EngineLoad(e)).update(e));
    }

    /**
     * Takes how many nodes share the requests.
     *
     * @param count this node included
     */
    public void nodes(int count) {
        mDemand.nodes(count);
    }

    /**
     * Takes that this node got a request, once for each.
     *
     * @param call the request
     * @param now the monotonic time in nanoseconds
     */
    public void arrived(CallNeeds call, long now) {
        if (call.adapter().isAdapter()) {
            mDemand.asked(call.adapter(), now);
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
    public Placement place(CallNeeds call, Set<String> avoided, long now) {
        List<EngineLoad> usable = usable(call.service(), avoided, now);
        if (usable.isEmpty()) {
            return new Placement.Wait(Placement.Reason.NO_SERVER, Optional.empty());
        }
        List<EngineLoad> holding = usable.stream().filter(e -> holds(e, call, now)).toList();
        Optional<EngineLoad> best =
                holding.stream()
                        .filter(e -> !isFull(e, call, now))
                        .min(Comparator.comparingDouble(e -> score(e, call, now)));
        if (best.isEmpty()) {
            return waiting(call, usable, holding, now);
        }
        mTargets.served(call.adapter());
        boolean busy =
                mDemand.isFrequent(call.adapter(), now)
                        && (score(best.get(), call, now) > spreadMillis(call)
                                || isCrowded(best.get(), usable, now));
        Optional<String> more =
                busy
                        ? mTargets.forCopy(call, usable, e -> score(e, call, now), best.get(), now)
                        : Optional.empty();
        return new Placement.Send(best.get().engine().id(), more);
    }

    private Placement waiting(
            CallNeeds call, List<EngineLoad> usable, List<EngineLoad> holding, long now) {
        if (holding.isEmpty()) {
            Optional<String> target = mTargets.forAbsent(call, usable, now);
            return new Placement.Wait(Placement.Reason.ADAPTER_ABSENT, target);
        }
        boolean soon = holding.stream().anyMatch(e -> catchesUpSoon(e, call, now));
        Optional<String> target = soon ? Optional.empty() : mTargets.forAbsent(call, usable, now);
        return new Placement.Wait(Placement.Reason.ENGINES_FULL, target);
    }

    private boolean catchesUpSoon(EngineLoad e, CallNeeds call, long now) {
        EngineLoad.Work work = e.total(now);
        return !lacksSpace(e, work, call) && millisBehind(e, work, call, now) < COPY_MILLIS;
    }

    private static boolean isCrowded(EngineLoad e, List<EngineLoad> usable, long now) {
        int running = e.total(now).running();
        double mean = usable.stream().mapToInt(u -> u.total(now).running()).average().orElse(0);
        return running >= CROWDED_LEAST && running > mean * CROWDED_TIMES;
    }

    private List<EngineLoad> usable(String service, Set<String> avoided, long now) {
        List<EngineLoad> all = new ArrayList<>();
        for (EngineLoad e : mEngines.values()) {
            if (e.engine().service().equals(service) && !e.engine().draining()) {
                all.add(e);
            }
        }
        List<EngineLoad> reachable = all.stream().filter(e -> !e.health().isBlocked(now)).toList();
        List<EngineLoad> open = withoutFailing(reachable, now);
        List<EngineLoad> fresh =
                open.stream().filter(e -> !avoided.contains(e.engine().id())).toList();
        return fresh.isEmpty() ? open : fresh;
    }

    /** Leaves out servers that fail much more than most; if most do, it isn't their fault. */
    private static List<EngineLoad> withoutFailing(List<EngineLoad> engines, long now) {
        List<EngineLoad> good =
                engines.stream().filter(e -> e.health().failureShare(now) < FAILING_SHARE).toList();
        return good.size() * 2 > engines.size() ? good : engines;
    }

    private boolean holds(EngineLoad e, CallNeeds call, long now) {
        if (!call.needsModel()) {
            return true;
        }
        if (!call.adapter().isAdapter()) {
            return e.engine().models().contains(call.adapter().model());
        }
        return mResidency.isResident(e.engine().id(), call.adapter(), call.version(), now);
    }

    private boolean isFull(EngineLoad e, CallNeeds call, long now) {
        EngineLoad.Work work = e.total(now);
        boolean behind = call.needsModel() && millisBehind(e, work, call, now) > 0;
        return behind || lacksSpace(e, work, call);
    }

    private boolean lacksSpace(EngineLoad e, EngineLoad.Work work, CallNeeds call) {
        long memory = mSpecs.apply(call.service()).map(EngineSpec::cacheTokens).orElse(0L);
        boolean noSlot = e.engine().slots() > 0 && work.running() >= e.engine().slots();
        boolean noRoom =
                call.needsModel()
                        && work.running() > 0
                        && work.cacheTokens() + call.cacheTokens() > memory * CACHE_SHARE;
        return noSlot || noRoom;
    }

    /** How much longer an engine has to read than lets this request's answer begin in time. */
    private double millisBehind(EngineLoad e, EngineLoad.Work work, CallNeeds call, long now) {
        ReadingSpeed speed = speed(call.service());
        double objective = (call.targetNanos() - call.arrivedNanos()) / 1e6 * OBJECTIVE_SHARE;
        double left = objective - (now - call.arrivedNanos()) / 1e6;
        double most = Math.max(LATE_MILLIS, left - speed.millis(e.unreadTokens(call)));
        return work.unreadTokens() > 0 ? speed.millis(work.unreadTokens()) - most : 0;
    }

    private ReadingSpeed speed(String service) {
        return mSpeeds.computeIfAbsent(service, s -> new ReadingSpeed());
    }

    private double score(EngineLoad e, CallNeeds call, long now) {
        EngineLoad.Work work = e.total(now);
        double far = e.engine().domain().equals(mDomain) ? 0 : FAR_MILLIS;
        double reading =
                call.needsModel()
                        ? speed(call.service()).millis(work.unreadTokens() + e.unreadTokens(call))
                        : work.running() * 40.0 / Math.max(1, e.engine().slots());
        return reading
                + work.running() * RUNNING_MILLIS
                + far
                + e.health().failureShare(now) * FAILING_MILLIS;
    }

    private static double spreadMillis(CallNeeds call) {
        return (call.targetNanos() - call.arrivedNanos()) / 1e6 * SPREAD_SHARE;
    }

    /**
     * Takes that a request was sent.
     *
     * @param engine the engine's id
     * @param call the request
     * @param now the monotonic time in nanoseconds
     */
    public void sent(String engine, CallNeeds call, long now) {
        long memory = mSpecs.apply(call.service()).map(EngineSpec::cacheTokens).orElse(0L);
        find(engine).ifPresent(e -> e.sent(call, memory, now));
    }

    /**
     * Takes that an engine began to answer a request.
     *
     * @param engine the engine's id
     * @param call the request
     * @param now the monotonic time in nanoseconds
     */
    public void answering(String engine, CallNeeds call, long now) {
        find(engine)
                .flatMap(e -> e.answering(call, now))
                .ifPresent(r -> speed(call.service()).sample(r.tokens(), r.millis()));
    }

    /**
     * Takes that a request ended on an engine, however it did.
     *
     * @param engine the engine's id
     * @param call the request
     */
    public void ended(String engine, CallNeeds call) {
        find(engine).ifPresent(e -> e.ended(call));
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
    public void others(
            String engine, String node, EngineLoad.Work work, Set<AdapterKey> adapters, long now) {
        find(engine).ifPresent(e -> e.others(node, work, adapters, now));
    }

    /**
     * Takes what the holder of an engine says of all nodes' work there.
     *
     * @param engine the engine's id
     * @param all the work
     * @param now the monotonic time in nanoseconds
     */
    public void published(String engine, EngineLoad.Work all, long now) {
        find(engine).ifPresent(e -> e.published(all, now));
    }

    /**
     * Returns all nodes' work on an engine, as far as this node knows.
     *
     * @param engine the engine's id
     * @param now the monotonic time in nanoseconds
     * @return the work; none if the engine is gone
     */
    public EngineLoad.Work total(String engine, long now) {
        return find(engine).map(e -> e.total(now)).orElse(EngineLoad.Work.NONE);
    }

    /**
     * Returns an engine's health record, to be told of successes and failures.
     *
     * @param engine the engine's id
     * @return the record, or empty if the engine is gone
     */
    public Optional<EngineHealth> health(String engine) {
        return find(engine).map(EngineLoad::health);
    }

    /**
     * Returns this node's own work on an engine.
     *
     * @param engine the engine's id
     * @return the work; none if the engine is gone
     */
    public EngineLoad.Work own(String engine) {
        return find(engine).map(EngineLoad::own).orElse(EngineLoad.Work.NONE);
    }

    /**
     * Returns the adapters that this node's requests use on an engine.
     *
     * @param engine the engine's id
     * @return the adapters
     */
    public Set<AdapterKey> ownAdapters(String engine) {
        return find(engine).map(EngineLoad::ownAdapters).orElse(Set.of());
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
        return find(engine).map(e -> e.isInUse(adapter, now)).orElse(false);
    }

    private Optional<EngineLoad> find(String engine) {
        return Optional.ofNullable(mEngines.get(engine));
    }
}
