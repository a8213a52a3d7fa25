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

/** The coordinators of one node, and the glue that carries their orders out. */
final class SimulatedCoordinators {
    private static final long QUIET_PERIOD_NANOS = Duration.ofSeconds(5).toNanos();

    private final SimulatedCluster mCluster;
    private final SimulatedNode mNode;
    private final PermitPool mLoadPermits;
    private final CrashSuspects mCrashSuspects = new CrashSuspects();
    private final Map<String, EngineCoordinator> mCoordinatorByEngine = new TreeMap<>();
    private final Map<String, Attempt> mAttempts = new HashMap<>();
    private final Map<String, String> mIncarnationByEngine = new HashMap<>();

    SimulatedCoordinators(SimulatedCluster world, SimulatedNode node, PermitPool bank) {
        mCluster = world;
        mNode = node;
        mLoadPermits = bank;
    }

    CrashSuspects crashSuspects() {
        return mCrashSuspects;
    }

    void restartAll() {
        mCoordinatorByEngine.forEach(
                (s, p) -> execute(s, p.beginTerm(mCluster.nowNanos(), QUIET_PERIOD_NANOS)));
    }

    void tick(long now) {
        mCoordinatorByEngine.forEach((s, p) -> execute(s, p.tick(now)));
        mLoadPermits.drainReturns(now);
    }

    void inspectAll() {
        mCoordinatorByEngine.keySet().forEach(this::inspect);
    }

    void coordinateOnly(Set<String> mine) {
        List.copyOf(mCoordinatorByEngine.keySet()).stream()
                .filter(s -> !mine.contains(s))
                .forEach(this::retireAndRemove);
        mine.stream()
                .filter(s -> !mCoordinatorByEngine.containsKey(s))
                .forEach(this::startCoordinating);
    }

    void retireAll() {
        List.copyOf(mCoordinatorByEngine.keySet()).forEach(this::retire);
    }

    private void retireAndRemove(String server) {
        execute(server, mCoordinatorByEngine.remove(server).retire());
    }

    private void startCoordinating(String server) {
        Optional<ServicePolicy> policy = mNode.settings().service("svc");
        if (policy.isPresent()) {
            EngineCoordinator c =
                    new EngineCoordinator(
                            server,
                            mNode.id() + mNode.incarnation(),
                            policy.get(),
                            EvictionPolicy.LEAST_FREQUENTLY_USED,
                            mLoadPermits);
            mCoordinatorByEngine.put(server, c);
            execute(server, c.beginTerm(mNode.nowNanos(), QUIET_PERIOD_NANOS));
            mCluster.reachInjectionPoint(
                    InjectionPoint.COORDINATOR_CHANGE, mNode, mCluster.engine(server));
        }
    }

    private void inspect(String server) {
        long asked = mCluster.nowNanos();
        mCluster.scheduleAfter(
                1,
                () -> {
                    EngineReport report = mCluster.engine(server).report();
                    mCluster.scheduleAfter(
                            1, () -> mNode.runOrDefer(() -> onReport(server, asked, report)));
                });
    }

    private void onReport(String server, long asked, EngineReport report) {
        EngineCoordinator post = mCoordinatorByEngine.get(server);
        if (post != null) {
            mIncarnationByEngine.put(server, report.incarnation());
            execute(server, post.onReport(mNode.nowNanos(), asked, report));
        }
    }

    void serve(
            String server,
            AttemptPlan.Step.Submit step,
            SimulatedCall call,
            int crashes,
            Consumer<PeerReply> reply) {
        EngineCoordinator post = mCoordinatorByEngine.get(server);
        long now = mNode.nowNanos();
        int known = Math.max(crashes, mCrashSuspects.crashCount(now, call.digest()));
        if (post == null) {
            reply.accept(PeerReply.declined(Quote.UNAVAILABLE));
            return;
        }
        if (known >= CrashSuspects.CRASH_LIMIT) {
            reply.accept(PeerReply.ofResult(CallResult.failure(shouldNotCrashBackends(known))));
            return;
        }
        mCrashSuspects.merge(new CrashSuspects.Finding(call.digest(), crashes, now));
        String id = mNode.id() + "/" + mCluster.nextNumber();
        mAttempts.put(id, new Attempt(server, call, reply));
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
                        known > 0);
        execute(server, post.submit(now, work));
    }

    /** An attempt on its way through a coordinator. */
    private record Attempt(String server, SimulatedCall call, Consumer<PeerReply> reply) {}

    private void execute(String server, List<Order> orders) {
        orders.forEach(o -> execute(server, o));
    }

    private void execute(String server, Order order) {
        FakeEngine s = mCluster.engine(server);
        if (order instanceof Order.Load load) {
            mCluster.reachInjectionPoint(InjectionPoint.LOAD, mNode, s);
            mCluster.loadAdapter(
                    s, load.adapter(), ok -> mNode.runOrDefer(() -> onLoaded(server, load, ok)));
        } else if (order instanceof Order.Unload unload) {
            s.unload(unload.adapter());
            mCluster.scheduleAfter(2, () -> mNode.runOrDefer(() -> onUnloaded(server, unload)));
        } else if (order instanceof Order.Start start) {
            startCall(s, start.attempt().id());
        } else if (order instanceof Order.Refuse refuse) {
            mAttempts
                    .remove(refuse.attempt().id())
                    .reply()
                    .accept(PeerReply.ofResult(CallResult.failure(refuse.problem())));
        } else if (order instanceof Order.Decline decline) {
            mAttempts
                    .remove(decline.attempt().id())
                    .reply()
                    .accept(PeerReply.declined(decline.quote()));
        } else if (order instanceof Order.RequestReport) {
            inspect(server);
        }
    }

    private void onLoaded(String server, Order.Load load, boolean ok) {
        if (mCoordinatorByEngine.containsKey(server)) {
            execute(
                    server,
                    mCoordinatorByEngine
                            .get(server)
                            .onLoaded(mNode.nowNanos(), load.adapter(), ok));
        }
    }

    private void onUnloaded(String server, Order.Unload unload) {
        if (mCoordinatorByEngine.containsKey(server)) {
            execute(
                    server,
                    mCoordinatorByEngine
                            .get(server)
                            .onUnloaded(mNode.nowNanos(), unload.adapter(), true));
        }
    }

    private void startCall(FakeEngine server, String attempt) {
        SimulatedCall call = mAttempts.get(attempt).call();
        mCluster.reachInjectionPoint(InjectionPoint.PIN, mNode, server);
        mCluster.scheduleAfter(
                1,
                () -> {
                    mCluster.reachInjectionPoint(InjectionPoint.SEND, mNode, server);
                    server.runCall(
                            call,
                            text ->
                                    mNode.runOrDefer(
                                            () -> onCallEnded(attempt, CallResult.success(text))),
                            ran -> mNode.runOrDefer(() -> onCallFailed(server, attempt, ran)));
                });
    }

    private void onCallFailed(FakeEngine server, String attempt, boolean ran) {
        Attempt a = mAttempts.get(attempt);
        long now = mNode.nowNanos();
        String id = server.vm().id();
        String life = server.report().incarnation();
        if (ran && !life.equals(mIncarnationByEngine.put(id, life))) {
            Set<Long> digests = new TreeSet<>(Set.of(a.call().digest()));
            EngineCoordinator post = mCoordinatorByEngine.get(id);
            if (post != null) {
                post.runningAttempts().keySet().stream()
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
        Problem p =
                ran
                        ? shouldAnswer(RunState.OUTCOME_UNKNOWN, "it crashed")
                        : shouldHoldAdapter("" + a.call().adapter());
        onCallEnded(
                attempt,
                CallResult.failure(
                        p.withCrashCount(mCrashSuspects.crashCount(now, a.call().digest()))));
    }

    private void onCallEnded(String attempt, CallResult answer) {
        Attempt a = mAttempts.remove(attempt);
        EngineCoordinator post = mCoordinatorByEngine.get(a.server());
        mCluster.reachInjectionPoint(InjectionPoint.RELEASE, mNode, mCluster.engine(a.server()));
        if (post != null) {
            execute(a.server(), post.onFinished(mNode.nowNanos(), attempt));
        }
        a.reply().accept(PeerReply.ofResult(answer));
    }

    private void retire(String server) {
        execute(server, mCoordinatorByEngine.get(server).retire());
    }
}
