package org.fescuehollow.faults;

import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldHaveKnownOutcome;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.fescuehollow.admission.RetryBudget;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.idempotency.LedgerDecision;
import org.fescuehollow.idempotency.LedgerSnapshot;
import org.fescuehollow.idempotency.Outcome;
import org.fescuehollow.idempotency.Ticket;
import org.fescuehollow.idempotency.TicketLedger;
import org.fescuehollow.membership.GossipMessage;
import org.fescuehollow.membership.Membership;
import org.fescuehollow.membership.MembershipTiming;
import org.fescuehollow.membership.OutgoingMessage;
import org.fescuehollow.membership.PauseDetector;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmList;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.placement.PermitPool;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.placement.StoreShare;
import org.fescuehollow.routing.AttemptPlan;
import org.fescuehollow.routing.FleetView;
import org.fescuehollow.settings.PathState;
import org.fescuehollow.settings.SettingsStore;
import org.fescuehollow.settings.SettingsView;
import org.fescuehollow.suspects.CrashSuspects;

/** One node made of the real decisions, with the least glue that carries their orders out. */
final class SimulatedNode {
    private static final long LOAD_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

    private final SimulatedCluster mCluster;
    private final String mId;
    private final String mDomain;
    private final String mIncarnation;
    private final Membership mMembership;
    private final SettingsStore mSettings = new SettingsStore();
    private final PauseDetector mPauseDetector = new PauseDetector(Duration.ofSeconds(3).toNanos());
    private final Map<String, TicketLedger> mLedgers = new TreeMap<>();
    private final SimulatedCoordinators mCoordinators;
    private final RetryBudget mRetryBudget = new RetryBudget(0.2, 50);
    private final List<Runnable> mDeferredActions = new ArrayList<>();
    private final Set<String> mOpenCalls = new TreeSet<>();
    private final PermitPool mLoadPermits;
    private final TicketLedger mOwnLedger;
    private VmList mVmList = VmList.EMPTY;
    private FleetView mFleetView = FleetView.of(VmList.EMPTY, Set.of());
    private Set<String> mUsableNodes = Set.of();
    private boolean mTerminated;
    private boolean mPaused;
    private boolean mStopping;

    SimulatedNode(SimulatedCluster world, String id, String domain) {
        mCluster = world;
        mId = id;
        mDomain = domain;
        mIncarnation = "life" + world.nextNumber();
        mMembership =
                new Membership(
                        id, domain, 1_000 + world.nowNanos() / 1_000_000, MembershipTiming.DEFAULT);
        mLoadPermits = new PermitPool(id, world.nowNanos(), LOAD_TIMEOUT_NANOS);
        mOwnLedger = new TicketLedger(id, mIncarnation, new byte[] {1}, 10_000);
        mLedgers.put(id + "/" + mIncarnation, mOwnLedger);
        mCoordinators = new SimulatedCoordinators(world, this, mLoadPermits);
        mPauseDetector.onPause(mCoordinators::restartAll);
    }

    String id() {
        return mId;
    }

    boolean acceptsCalls() {
        return !mStopping && !mPaused && mMembership.isSettled();
    }

    Set<String> openCalls() {
        return Set.copyOf(mOpenCalls);
    }

    Ticket issueTicket() {
        return mOwnLedger.issue();
    }

    CrashSuspects crashSuspects() {
        return mCoordinators.crashSuspects();
    }

    SettingsView settings() {
        return mSettings.view();
    }

    String incarnation() {
        return mIncarnation;
    }

    long nowNanos() {
        return mPauseDetector.check(mCluster.nowNanos());
    }

    void runOrDefer(Runnable action) {
        if (mPaused) {
            mDeferredActions.add(action);
        } else if (!mTerminated) {
            action.run();
        }
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        List<Runnable> deferred = List.copyOf(mDeferredActions);
        mDeferredActions.clear();
        deferred.forEach(this::runOrDefer);
    }

    void terminate() {
        mTerminated = true;
    }

    void start() {
        scheduleEvery(100, this::tick);
        scheduleEvery(1_000, this::pollPlatform);
        pollPlatform();
    }

    private void scheduleEvery(long millis, Runnable action) {
        mCluster.scheduleAfter(
                millis,
                () -> {
                    if (!mTerminated) {
                        runOrDefer(action);
                        scheduleEvery(millis, action);
                    }
                });
    }

    private void tick() {
        long now = nowNanos();
        sendGossip(mMembership.tick(now));
        refreshFleetView();
        mCoordinators.tick(now);
    }

    private void sendGossip(List<OutgoingMessage> out) {
        out.forEach(o -> mCluster.sendGossip(mId, o, crashSuspects().findings()));
    }

    void receiveGossip(GossipMessage m, List<CrashSuspects.Finding> findings) {
        sendGossip(mMembership.receive(nowNanos(), m));
        findings.forEach(crashSuspects()::merge);
        refreshFleetView();
    }

    private void pollPlatform() {
        long before = settingsRevision();
        mCluster.platform().settings().forEach(mSettings::merge);
        mCluster.checker().onSettingsChange(mId, before, settingsRevision());
        VmList list = mCluster.platform().vmList();
        if (list.revision() > mVmList.revision()) {
            mVmList = list;
            Map<String, String> nodes = new TreeMap<>();
            list.withRole(VmRole.ENTRY).forEach(vm -> nodes.put(vm.id(), vm.domain()));
            mMembership.setListedNodes(nodes);
            mUsableNodes = Set.of();
            refreshFleetView();
        }
        mCoordinators.inspectAll();
        SimulatedNode peer = mCluster.randomNode();
        peer.runOrDefer(() -> peer.mergeSettings(mSettings));
    }

    private void mergeSettings(SettingsStore other) {
        long before = settingsRevision();
        other.paths().values().forEach(s -> s.entries().forEach(mSettings::merge));
        mCluster.checker().onSettingsChange(mId, before, settingsRevision());
    }

    long settingsRevision() {
        PathState s = mSettings.paths().get("services/svc");
        return s == null ? 0 : s.newest().revision().number();
    }

    private void refreshFleetView() {
        Set<String> usable = mMembership.usableNodes();
        if (usable.equals(mUsableNodes) || mStopping) {
            return;
        }
        mUsableNodes = usable;
        mFleetView = FleetView.of(mVmList, usable);
        SortedSet<String> listed = new TreeSet<>();
        mVmList.withRole(VmRole.ENTRY).stream()
                .filter(vm -> vm.domain().equals(mDomain))
                .forEach(vm -> listed.add(vm.id()));
        mLoadPermits.setShare(
                nowNanos(), StoreShare.of(mSettings.view().store(), mId, mDomain, listed));
        Set<String> mine = new TreeSet<>();
        mFleetView.coordinatedBy(mId).forEach(vm -> mine.add(vm.id()));
        mCoordinators.coordinateOnly(mine);
    }

    void handleCall(SimulatedCall call, Consumer<CallResult> reply) {
        mOpenCalls.add(call.id());
        mCluster.reachInjectionPoint(InjectionPoint.ACCEPT, this, mCluster.engine("e0"));
        runOrDefer(
                () -> {
                    mCluster.reachInjectionPoint(
                            InjectionPoint.SETTINGS_LOOKUP, this, mCluster.engine("e0"));
                    runOrDefer(() -> dispatchCall(call, a -> completeCall(call, a, reply)));
                });
    }

    private void completeCall(SimulatedCall call, CallResult answer, Consumer<CallResult> reply) {
        if (mOpenCalls.remove(call.id())) {
            reply.accept(answer);
        }
    }

    private void dispatchCall(SimulatedCall call, Consumer<CallResult> reply) {
        if (call.repeatable()) {
            new SimulatedRoute(this, call, reply).start();
        } else if (mLedgers.containsKey(ledgerIdOf(call))) {
            runTicketCall(call, r -> r.result().ifPresent(reply));
        } else {
            forwardToLedgerHolder(call, new ArrayDeque<>(possibleLedgerHolders(call)), reply);
        }
    }

    private static String ledgerIdOf(SimulatedCall call) {
        return call.ticket().node() + "/" + call.ticket().incarnation();
    }

    private List<String> possibleLedgerHolders(SimulatedCall call) {
        String minter = call.ticket().node();
        List<String> holders = new ArrayList<>();
        if (mUsableNodes.contains(minter)) {
            holders.add(minter);
        }
        successors(minter).stream().limit(3).forEach(holders::add);
        return holders;
    }

    private List<String> successors(String node) {
        long key = Rendezvous.hash(node);
        return mUsableNodes.stream()
                .filter(n -> !n.equals(node) && !n.equals(mId))
                .sorted(Comparator.comparingLong(n -> Rendezvous.weight(key, Rendezvous.hash(n))))
                .toList();
    }

    private void forwardToLedgerHolder(
            SimulatedCall call, Deque<String> holders, Consumer<CallResult> reply) {
        String holder = holders.poll();
        if (holder == null) {
            reply.accept(CallResult.failure(shouldHaveKnownOutcome("no holder")));
            return;
        }
        mCluster.sendRequest(
                this,
                holder,
                (n, r) -> n.runTicketCall(call, r),
                r ->
                        r.result()
                                .ifPresentOrElse(
                                        reply, () -> forwardToLedgerHolder(call, holders, reply)),
                p -> {
                    if (p.runState() == RunState.NOT_RUN) {
                        forwardToLedgerHolder(call, holders, reply);
                    } else {
                        reply.accept(CallResult.failure(p));
                    }
                });
    }

    private void runTicketCall(SimulatedCall call, Consumer<PeerReply> reply) {
        TicketLedger ledger = mLedgers.get(ledgerIdOf(call));
        if (ledger == null) {
            reply.accept(PeerReply.declined(Quote.UNAVAILABLE));
            return;
        }
        LedgerDecision said = ledger.begin(call.ticket(), call.digest());
        mCluster.reachInjectionPoint(InjectionPoint.RECORD, this, mCluster.engine("e0"));
        if (said instanceof LedgerDecision.Refuse refuse) {
            reply.accept(PeerReply.ofResult(CallResult.failure(refuse.problem())));
        } else if (said instanceof LedgerDecision.Replay replay) {
            Outcome o = replay.outcome();
            reply.accept(
                    PeerReply.ofResult(
                            new CallResult(
                                    new String(o.body(), StandardCharsets.UTF_8), o.problem())));
        } else {
            runOrDefer(
                    () ->
                            new SimulatedRoute(
                                            this, call, a -> recordOutcome(ledger, call, a, reply))
                                    .start());
        }
    }

    private void recordOutcome(
            TicketLedger ledger, SimulatedCall call, CallResult a, Consumer<PeerReply> reply) {
        ledger.complete(
                call.ticket(),
                a.problem()
                        .map(Outcome::ofProblem)
                        .orElseGet(
                                () ->
                                        Outcome.ofResponse(
                                                200,
                                                "",
                                                a.text().getBytes(StandardCharsets.UTF_8))));
        reply.accept(PeerReply.ofResult(a));
    }

    AttemptPlan createAttemptPlan(SimulatedCall call) {
        mCluster.reachInjectionPoint(InjectionPoint.ROUTE, this, mCluster.engine("e0"));
        return new AttemptPlan(
                "svc",
                mFleetView.candidates("svc", call.adapter()),
                call.repeatable(),
                mRetryBudget);
    }

    void submit(
            AttemptPlan.Step.Submit step,
            SimulatedCall call,
            int crashes,
            Consumer<PeerReply> reply,
            Consumer<Problem> failed) {
        String server = step.server().id();
        Optional<Vm> node = mFleetView.coordinatorOf(step.server());
        if (node.isEmpty()) {
            reply.accept(PeerReply.declined(Quote.UNAVAILABLE));
        } else if (node.get().id().equals(mId)) {
            mCoordinators.serve(server, step, call, crashes, reply);
        } else {
            mCluster.sendRequest(
                    this,
                    node.get().id(),
                    (n, r) -> n.mCoordinators.serve(server, step, call, crashes, r),
                    reply,
                    failed);
        }
    }

    void stopGracefully() {
        mStopping = true;
        scheduleEvery(100, this::stopWhenIdle);
    }

    private void stopWhenIdle() {
        if (!mOpenCalls.isEmpty() || mTerminated) {
            return;
        }
        mCluster.reachInjectionPoint(InjectionPoint.HAND_OVER, this, mCluster.engine("e0"));
        if (mPaused || mTerminated) {
            return;
        }
        List<String> next = successors(mId);
        if (!next.isEmpty()) {
            mLedgers.values().forEach(l -> handOverLedger(next.get(0), l.handOver()));
        }
        sendGossip(mMembership.leave());
        mCoordinators.retireAll();
        mCluster.scheduleAfter(5_000, this::shutDown);
        mOpenCalls.add("stopped");
    }

    private void shutDown() {
        if (!mTerminated) {
            mTerminated = true;
            mCluster.removeNode(this);
        }
    }

    private void handOverLedger(String to, LedgerSnapshot snapshot) {
        mCluster.sendRequest(
                this,
                to,
                (n, r) -> {
                    n.mLedgers.putIfAbsent(
                            snapshot.ledgerId(), TicketLedger.fromSnapshot(snapshot, 10_000));
                    r.accept(PeerReply.declined(Quote.UNAVAILABLE));
                },
                r -> {},
                p -> {});
    }
}
