package org.fescuehollow.faults;

import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswer;
import static org.fescuehollow.error.ShouldLoadAdapter.shouldHoldAdapter;
import static org.fescuehollow.error.ShouldNotCrashBackends.shouldNotCrashBackends;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.Priority;
import org.fescuehollow.placement.AttemptSpec;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.EngineReport;
import org.fescuehollow.placement.EvictionPolicy;
import org.fescuehollow.placement.Order;
import org.fescuehollow.placement.PermitPool;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.routing.AttemptPlan;
import org.fescuehollow.settings.ServicePolicy;
import org.fescuehollow.suspects.CrashSuspects;

/** The coordinators of one simulated node, with minimal code that executes their orders. */
final class SimulatedCoordinators {
    private static final long QUIET_PERIOD_NANOS = Duration.ofSeconds(5).toNanos();

    private final SimulatedCluster mCluster;
    private final SimulatedNode mNode;
    private final PermitPool mLoadPermits;
    private final CrashSuspects mCrashSuspects = new CrashSuspects();
    private final Map<String, EngineCoordinator> mCoordinatorByEngine = new TreeMap<>();
    private final Map<String, Attempt> mAttempts = new HashMap<>();
    private final Map<String, String> mIncarnationByEngine = new HashMap<>();

    SimulatedCoordinators(SimulatedCluster cluster, SimulatedNode node, PermitPool loadPermits) {
        mCluster = cluster;
        mNode = node;
        mLoadPermits = loadPermits;
    }

    CrashSuspects crashSuspects() {
        return mCrashSuspects;
    }

    void restartAll() {
        mCoordinatorByEngine.forEach(
                (e, c) -> execute(e, c.beginTerm(mCluster.now(), QUIET_PERIOD_NANOS)));
    }

    void tick(long now) {
        mCoordinatorByEngine.forEach((e, c) -> execute(e, c.tick(now)));
        mLoadPermits.drainReturns(now);
    }

    void inspectAll() {
        mCoordinatorByEngine.keySet().forEach(this::inspect);
    }

    void coordinateOnly(Set<String> engineIds) {
        List.copyOf(mCoordinatorByEngine.keySet()).stream()
                .filter(s -> !engineIds.contains(s))
                .forEach(this::retireAndRemove);
        engineIds.stream()
                .filter(s -> !mCoordinatorByEngine.containsKey(s))
                .forEach(this::startCoordinating);
    }

    void retireAll() {
        List.copyOf(mCoordinatorByEngine.keySet()).forEach(this::retire);
    }

    private void retireAndRemove(String engineId) {
        execute(engineId, mCoordinatorByEngine.remove(engineId).retire());
    }

    private void startCoordinating(String engineId) {
        Optional<ServicePolicy> policy = mNode.settings().service("svc");
        if (policy.isPresent()) {
            EngineCoordinator c =
                    new EngineCoordinator(
                            engineId,
                            mNode.id() + mNode.incarnation(),
                            policy.get(),
                            EvictionPolicy.LEAST_FREQUENTLY_USED,
                            mLoadPermits);
            mCoordinatorByEngine.put(engineId, c);
            execute(engineId, c.beginTerm(mNode.now(), QUIET_PERIOD_NANOS));
            mCluster.injectAt(InjectionPoint.COORDINATOR_CHANGE, mNode, mCluster.engine(engineId));
        }
    }

    private void inspect(String engineId) {
        long askedNanos = mCluster.now();
        mCluster.schedule(
                1,
                () -> {
                    EngineReport report = mCluster.engine(engineId).report();
                    mCluster.schedule(
                            1, () -> mNode.execute(() -> onReport(engineId, askedNanos, report)));
                });
    }

    private void onReport(String engineId, long askedNanos, EngineReport report) {
        EngineCoordinator coordinator = mCoordinatorByEngine.get(engineId);
        if (coordinator != null) {
            mIncarnationByEngine.put(engineId, report.incarnation());
            execute(engineId, coordinator.onReport(mNode.now(), askedNanos, report));
        }
    }

    void serve(
            String engineId,
            AttemptPlan.Step.Submit step,
            SimulatedCall call,
            int reportedCrashes,
            Consumer<PeerReply> onReply) {
        EngineCoordinator coordinator = mCoordinatorByEngine.get(engineId);
        long now = mNode.now();
        int crashCount = Math.max(reportedCrashes, mCrashSuspects.crashCount(now, call.digest()));
        if (coordinator == null) {
            onReply.accept(PeerReply.declined(Quote.UNAVAILABLE));
            return;
        }
        if (crashCount >= CrashSuspects.CRASH_LIMIT) {
            onReply.accept(
                    PeerReply.ofResult(CallResult.failure(shouldNotCrashBackends(crashCount))));
            return;
        }
        mCrashSuspects.merge(new CrashSuspects.Finding(call.digest(), reportedCrashes, now));
        String id = mNode.id() + "/" + mCluster.nextNumber();
        mAttempts.put(id, new Attempt(engineId, call, onReply));
        long deadline = now + Duration.ofSeconds(15).toNanos();
        AttemptSpec work =
                new AttemptSpec(
                        id,
                        "team",
                        1,
                        Priority.STANDARD,
                        Optional.of(call.adapter()),
                        now,
                        deadline,
                        step.admissionMode(),
                        step.knownUses(),
                        crashCount > 0);
        execute(engineId, coordinator.submit(now, work));
    }

    /** An attempt that a coordinator has received and not ended yet. */
    private record Attempt(String engineId, SimulatedCall call, Consumer<PeerReply> onReply) {}

    private void execute(String engineId, List<Order> orders) {
        orders.forEach(o -> execute(engineId, o));
    }

    private void execute(String engineId, Order order) {
        FakeEngine engine = mCluster.engine(engineId);
        if (order instanceof Order.Load load) {
            mCluster.injectAt(InjectionPoint.LOAD, mNode, engine);
            mCluster.loadAdapter(
                    engine,
                    load.adapter(),
                    succeeded -> mNode.execute(() -> onLoaded(engineId, load, succeeded)));
        } else if (order instanceof Order.Unload unload) {
            engine.unload(unload.adapter());
            mCluster.schedule(2, () -> mNode.execute(() -> onUnloaded(engineId, unload)));
        } else if (order instanceof Order.Start start) {
            startCall(engine, start.attempt().id());
        } else if (order instanceof Order.Refuse refuse) {
            mAttempts
                    .remove(refuse.attempt().id())
                    .onReply()
                    .accept(PeerReply.ofResult(CallResult.failure(refuse.problem())));
        } else if (order instanceof Order.Decline decline) {
            mAttempts
                    .remove(decline.attempt().id())
                    .onReply()
                    .accept(PeerReply.declined(decline.quote()));
        } else if (order instanceof Order.RequestReport) {
            inspect(engineId);
        }
    }

    private void onLoaded(String engineId, Order.Load load, boolean succeeded) {
        if (mCoordinatorByEngine.containsKey(engineId)) {
            execute(
                    engineId,
                    mCoordinatorByEngine
                            .get(engineId)
                            .onLoaded(mNode.now(), load.adapter(), succeeded));
        }
    }

    private void onUnloaded(String engineId, Order.Unload unload) {
        if (mCoordinatorByEngine.containsKey(engineId)) {
            execute(
                    engineId,
                    mCoordinatorByEngine
                            .get(engineId)
                            .onUnloaded(mNode.now(), unload.adapter(), true));
        }
    }

    private void startCall(FakeEngine engine, String attemptId) {
        SimulatedCall call = mAttempts.get(attemptId).call();
        mCluster.injectAt(InjectionPoint.PIN, mNode, engine);
        mCluster.schedule(
                1,
                () -> {
                    mCluster.injectAt(InjectionPoint.SEND, mNode, engine);
                    engine.runCall(
                            call,
                            text ->
                                    mNode.execute(
                                            () -> onCallEnded(attemptId, CallResult.success(text))),
                            ran -> mNode.execute(() -> onCallFailed(engine, attemptId, ran)));
                });
    }

    private void onCallFailed(FakeEngine engine, String attemptId, boolean ran) {
        Attempt a = mAttempts.get(attemptId);
        long now = mNode.now();
        String id = engine.vm().id();
        String incarnation = engine.report().incarnation();
        if (ran && !incarnation.equals(mIncarnationByEngine.put(id, incarnation))) {
            Set<Long> digests = new TreeSet<>(Set.of(a.call().digest()));
            EngineCoordinator coordinator = mCoordinatorByEngine.get(id);
            if (coordinator != null) {
                coordinator.runningAttempts().keySet().stream()
                        .map(mAttempts::get)
                        .filter(Objects::nonNull)
                        .forEach(r -> digests.add(r.call().digest()));
            }
            mCrashSuspects
                    .recordCrash(now, digests)
                    .forEach(f -> mCluster.broadcastCrashFinding(mNode.id(), f));
        }
        if (!ran && mCoordinatorByEngine.containsKey(id)) {
            mCoordinatorByEngine.get(id).onAdapterMissing(a.call().adapter());
        }
        Problem problem =
                ran
                        ? shouldAnswer(RunState.OUTCOME_UNKNOWN, "it crashed")
                        : shouldHoldAdapter("" + a.call().adapter());
        onCallEnded(
                attemptId,
                CallResult.failure(
                        problem.withCrashCount(mCrashSuspects.crashCount(now, a.call().digest()))));
    }

    private void onCallEnded(String attemptId, CallResult result) {
        Attempt a = mAttempts.remove(attemptId);
        EngineCoordinator coordinator = mCoordinatorByEngine.get(a.engineId());
        mCluster.injectAt(InjectionPoint.RELEASE, mNode, mCluster.engine(a.engineId()));
        if (coordinator != null) {
            execute(a.engineId(), coordinator.onFinished(mNode.now(), attemptId));
        }
        a.onReply().accept(PeerReply.ofResult(result));
    }

    private void retire(String engineId) {
        execute(engineId, mCoordinatorByEngine.get(engineId).retire());
    }
}
