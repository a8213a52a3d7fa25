package org.fescuehollow.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.fescuehollow.admission.RetryBudget;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.model.VmState;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.Permit;
import org.fescuehollow.placement.PermitPool;
import org.fescuehollow.placement.StoreShare;
import org.fescuehollow.placement.Urgency;
import org.fescuehollow.routing.AttemptPlan;
import org.fescuehollow.routing.CandidateTable;
import org.fescuehollow.settings.FencingSupport;
import org.fescuehollow.settings.ServicePolicy;
import org.fescuehollow.settings.StorePolicy;

/**
 * Simulates engines, entry nodes and the weight store in virtual time, with the real policy code.
 *
 * <p>Each engine has a real coordinator and each node a real permit pool; permits are lent between
 * pools without delay. Not safe for concurrent use.
 */
final class SimulatedFleet {
    private static final long TICK_NANOS = Duration.ofMillis(50).toNanos();
    private static final long LOAD_TIMEOUT_NANOS = Duration.ofSeconds(30).toNanos();

    private final Scenario mScenario;
    private final RoutingStrategy mRouting;
    private final VirtualTimeline mTimeline = new VirtualTimeline();
    private final SimulatedStore mStore;
    private final Recorder mRecorder = new Recorder();
    private final List<PermitPool> mPermitPools = new ArrayList<>();
    private final List<SimulatedEngine> mEngines = new ArrayList<>();
    private final List<Vm> mVms = new ArrayList<>();
    private final Map<Integer, CandidateTable> mReachableTables = new HashMap<>();
    private final RetryBudget mRetryBudget = new RetryBudget(0.1, 20);
    private final UniformRandomProvider mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
    private final CandidateTable mFullTable;
    private int mIsolatedDomain = -1;

    SimulatedFleet(Scenario scenario, RoutingStrategy routing) {
        mScenario = scenario;
        mRouting = routing;
        mStore = new SimulatedStore(mTimeline, scenario.inTransit());
        addPermitPools();
        addEngines();
        mFullTable = new CandidateTable(mVms);
    }

    private void addPermitPools() {
        Map<String, Double> shares = new TreeMap<>();
        for (int d = 0; d < mScenario.domains(); d++) {
            shares.put("d" + d, 1.0 / mScenario.domains());
        }
        StorePolicy policy =
                new StorePolicy(mScenario.loadsPerSecond(), mScenario.inTransit(), shares);
        for (int n = 0; n < mScenario.nodes(); n++) {
            PermitPool permitPool = new PermitPool("n" + n, 0, LOAD_TIMEOUT_NANOS);
            String domain = "d" + n % mScenario.domains();
            permitPool.setShare(
                    0, StoreShare.of(policy, "n" + n, domain, nodesOf(n % mScenario.domains())));
            mPermitPools.add(permitPool);
        }
    }

    private SortedSet<String> nodesOf(int domain) {
        return IntStream.range(0, mScenario.nodes())
                .filter(n -> n % mScenario.domains() == domain)
                .mapToObj(n -> "n" + n)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private void addEngines() {
        ServicePolicy policy =
                new ServicePolicy(
                        "svc",
                        true,
                        mScenario.slots(),
                        mScenario.batch(),
                        128,
                        mScenario.weighting(),
                        FencingSupport.CHECKED);
        for (int e = 0; e < mScenario.engines(); e++) {
            int domain = e % mScenario.domains();
            int domainNodes = nodesOf(domain).size();
            int node = domain + mScenario.domains() * (e / mScenario.domains() % domainNodes);
            EngineCoordinator coordinator =
                    new EngineCoordinator(
                            "e" + e,
                            "n" + node,
                            policy,
                            mRouting.eviction(),
                            mPermitPools.get(node));
            mEngines.add(
                    new SimulatedEngine(
                            coordinator, mTimeline, mStore, mRecorder, this::handleStep));
            mVms.add(
                    new Vm(
                            "e" + e,
                            VmRole.ENGINE,
                            "svc",
                            "d" + domain,
                            "127.0.0.1",
                            e,
                            VmState.LIVE));
        }
    }

    PolicyResult run(List<Request> requests, Set<WorkloadEvent> events) {
        mEngines.forEach(SimulatedEngine::begin);
        requests.forEach(r -> mTimeline.scheduleAt(r.arrivalNanos(), () -> onArrival(r)));
        long end = Duration.ofSeconds(mScenario.seconds()).toNanos();
        if (events.contains(WorkloadEvent.ENGINE_RESTART)) {
            mTimeline.scheduleAt(end / 3, () -> mEngines.get(0).restart());
        }
        if (events.contains(WorkloadEvent.DOMAIN_CUT)) {
            mTimeline.scheduleAt(end / 2, () -> mIsolatedDomain = 0);
            mTimeline.scheduleAt(end * 2 / 3, () -> mIsolatedDomain = -1);
        }
        scheduleTicks();
        mTimeline.runUntil(end + Duration.ofSeconds(60).toNanos());
        return mRecorder.result(
                mRouting.name().toLowerCase(Locale.ROOT),
                requests.size(),
                mStore,
                mScenario.batch());
    }

    private void scheduleTicks() {
        mTimeline.scheduleAfter(
                TICK_NANOS,
                () -> {
                    mEngines.forEach(SimulatedEngine::tick);
                    lendPermits();
                    scheduleTicks();
                });
    }

    private void lendPermits() {
        long now = mTimeline.nowNanos();
        for (int i = 0; i < mPermitPools.size(); i++) {
            PermitPool permitPool = mPermitPools.get(i);
            permitPool.drainReturns(now).forEach(p -> ownerOf(p).onLoanReturned(p.number()));
            Optional<Urgency> urgency = permitPool.borrowingUrgency(now);
            if (urgency.isPresent()) {
                for (int attempt = 0; attempt < 2; attempt++) {
                    int other = mRandom.nextInt(mPermitPools.size());
                    if (isReachable(domainOfNode(i), domainOfNode(other)) && other != i) {
                        mPermitPools
                                .get(other)
                                .lend(now, urgency.get())
                                .ifPresent(p -> permitPool.addLoan(now, p));
                    }
                }
            }
        }
    }

    private PermitPool ownerOf(Permit permit) {
        return mPermitPools.get(Integer.parseInt(permit.owner().substring(1)));
    }

    private int domainOfNode(int node) {
        return node % mScenario.domains();
    }

    private boolean isReachable(int from, int to) {
        return from == to || (from != mIsolatedDomain && to != mIsolatedDomain);
    }

    private void onArrival(Request request) {
        CandidateTable table =
                mIsolatedDomain < 0 ? mFullTable : tableReachableFrom(request.domain());
        List<Vm> order =
                mRouting.candidates(
                        new RoutingStrategy.RoutingContext(
                                table.engines(),
                                table.candidates(request.adapter()),
                                vm -> mEngines.get(vm.port()).openRequests(),
                                mRandom));
        AttemptPlan plan = new AttemptPlan("svc", order, true, mRetryBudget);
        handleStep(request, plan, plan.begin());
    }

    private CandidateTable tableReachableFrom(int domain) {
        return mReachableTables.computeIfAbsent(
                domain,
                d ->
                        new CandidateTable(
                                mVms.stream().filter(vm -> isReachable(d, domainOf(vm))).toList()));
    }

    private static int domainOf(Vm vm) {
        return Integer.parseInt(vm.domain().substring(1));
    }

    private void handleStep(Request request, AttemptPlan plan, AttemptPlan.Step step) {
        if (step instanceof AttemptPlan.Step.Submit submit) {
            mEngines.get(submit.server().port()).submit(request, plan, submit);
        } else {
            mRecorder.recordRejection();
        }
    }
}
