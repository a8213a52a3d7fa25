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

/** A node made of the decision classes under test, connected by as little code as possible. */
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
    private FleetView mFleet = FleetView.of(VmList.EMPTY, Set.of());
    private Set<String> mUsableNodes = Set.of();
    private boolean mTerminated;
    private boolean mPaused;
    private boolean mStopping;

    SimulatedNode(SimulatedCluster cluster, String id, String domain) {
        mCluster = cluster;
        mId = id;
        mDomain = domain;
        mIncarnation = "life" + cluster.nextNumber();
        mMembership =
                new Membership(
                        id, domain, 1_000 + cluster.now() / 1_000_000, MembershipTiming.DEFAULT);
        mLoadPermits = new PermitPool(id, cluster.now(), LOAD_TIMEOUT_NANOS);
        mOwnLedger = new TicketLedger(id, mIncarnation, new byte[] {1}, 10_000);
        mLedgers.put(id + "/" + mIncarnation, mOwnLedger);
        mCoordinators = new SimulatedCoordinators(cluster, this, mLoadPermits);
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

    long now() {
        return mPauseDetector.check(mCluster.now());
    }

    /** Runs an action, or defers it to the end of a pause; after a crash it is dropped. */
    void execute(Runnable action) {
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
        deferred.forEach(this::execute);
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
        mCluster.schedule(
                millis,
                () -> {
                    if (!mTerminated) {
                        execute(action);
                        scheduleEvery(millis, action);
                    }
                });
    }

    private void tick() {
        long now = now();
        sendGossip(mMembership.tick(now));
        refreshFleetView();
        mCoordinators.tick(now);
    }

    private void sendGossip(List<OutgoingMessage> messages) {
        messages.forEach(m -> mCluster.sendGossip(mId, m, crashSuspects().findings()));
    }

    void receiveGossip(GossipMessage message, List<CrashSuspects.Finding> findings) {
        sendGossip(mMembership.receive(now(), message));
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
        peer.execute(() -> peer.mergeSettings(mSettings));
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
        mFleet = FleetView.of(mVmList, usable);
        SortedSet<String> listedInDomain = new TreeSet<>();
        mVmList.withRole(VmRole.ENTRY).stream()
                .filter(vm -> vm.domain().equals(mDomain))
                .forEach(vm -> listedInDomain.add(vm.id()));
        mLoadPermits.setShare(
                now(), StoreShare.of(mSettings.view().store(), mId, mDomain, listedInDomain));
        Set<String> coordinated = new TreeSet<>();
        mFleet.coordinatedBy(mId).forEach(vm -> coordinated.add(vm.id()));
        mCoordinators.coordinateOnly(coordinated);
    }

    void handleCall(SimulatedCall call, Consumer<CallResult> onResult) {
        mOpenCalls.add(call.id());
        mCluster.injectAt(InjectionPoint.ACCEPT, this, mCluster.engine("e0"));
        execute(
                () -> {
                    mCluster.injectAt(InjectionPoint.SETTINGS_LOOKUP, this, mCluster.engine("e0"));
                    execute(() -> dispatchCall(call, a -> complete(call, a, onResult)));
                });
    }

    private void complete(SimulatedCall call, CallResult result, Consumer<CallResult> onResult) {
        if (mOpenCalls.remove(call.id())) {
            onResult.accept(result);
        }
    }

    private void dispatchCall(SimulatedCall call, Consumer<CallResult> onResult) {
        if (call.repeatable()) {
            new CallRoute(this, call, onResult).start();
        } else if (mLedgers.containsKey(ledgerIdOf(call))) {
            runTicketCall(call, r -> r.result().ifPresent(onResult));
        } else {
            forward(call, new ArrayDeque<>(possibleLedgerHolders(call)), onResult);
        }
    }

    private static String ledgerIdOf(SimulatedCall call) {
        return call.ticket().node() + "/" + call.ticket().incarnation();
    }

    private List<String> possibleLedgerHolders(SimulatedCall call) {
        String issuer = call.ticket().node();
        List<String> holders = new ArrayList<>();
        if (mUsableNodes.contains(issuer)) {
            holders.add(issuer);
        }
        successors(issuer).stream().limit(3).forEach(holders::add);
        return holders;
    }

    private List<String> successors(String node) {
        long key = Rendezvous.hash(node);
        return mUsableNodes.stream()
                .filter(n -> !n.equals(node) && !n.equals(mId))
                .sorted(Comparator.comparingLong(n -> Rendezvous.weight(key, Rendezvous.hash(n))))
                .toList();
    }

    private void forward(SimulatedCall call, Deque<String> holders, Consumer<CallResult> onResult) {
        String holder = holders.poll();
        if (holder == null) {
            onResult.accept(CallResult.failure(shouldHaveKnownOutcome("no holder")));
            return;
        }
        mCluster.sendRequest(
                this,
                holder,
                (n, r) -> n.runTicketCall(call, r),
                r -> r.result().ifPresentOrElse(onResult, () -> forward(call, holders, onResult)),
                p -> {
                    if (p.runState() == RunState.NOT_RUN) {
                        forward(call, holders, onResult);
                    } else {
                        onResult.accept(CallResult.failure(p));
                    }
                });
    }

    private void runTicketCall(SimulatedCall call, Consumer<PeerReply> onReply) {
        TicketLedger ledger = mLedgers.get(ledgerIdOf(call));
        if (ledger == null) {
            onReply.accept(PeerReply.declined(Quote.UNAVAILABLE));
            return;
        }
        LedgerDecision decision = ledger.begin(call.ticket(), call.digest());
        mCluster.injectAt(InjectionPoint.RECORD, this, mCluster.engine("e0"));
        if (decision instanceof LedgerDecision.Refuse refuse) {
            onReply.accept(PeerReply.ofResult(CallResult.failure(refuse.problem())));
        } else if (decision instanceof LedgerDecision.Replay replay) {
            Outcome o = replay.outcome();
            onReply.accept(
                    PeerReply.ofResult(
                            new CallResult(
                                    new String(o.body(), StandardCharsets.UTF_8), o.problem())));
        } else {
            execute(() -> new CallRoute(this, call, r -> record(ledger, call, r, onReply)).start());
        }
    }

    private void record(
            TicketLedger ledger, SimulatedCall call, CallResult a, Consumer<PeerReply> onReply) {
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
        onReply.accept(PeerReply.ofResult(a));
    }

    AttemptPlan createAttemptPlan(SimulatedCall call) {
        mCluster.injectAt(InjectionPoint.ROUTE, this, mCluster.engine("e0"));
        return new AttemptPlan(
                "svc", mFleet.candidates("svc", call.adapter()), call.repeatable(), mRetryBudget);
    }

    void submit(
            AttemptPlan.Step.Submit step,
            SimulatedCall call,
            int crashCount,
            Consumer<PeerReply> onReply,
            Consumer<Problem> onFailure) {
        String engineId = step.server().id();
        Optional<Vm> coordinator = mFleet.coordinatorOf(step.server());
        if (coordinator.isEmpty()) {
            onReply.accept(PeerReply.declined(Quote.UNAVAILABLE));
        } else if (coordinator.get().id().equals(mId)) {
            mCoordinators.serve(engineId, step, call, crashCount, onReply);
        } else {
            mCluster.sendRequest(
                    this,
                    coordinator.get().id(),
                    (n, r) -> n.mCoordinators.serve(engineId, step, call, crashCount, r),
                    onReply,
                    onFailure);
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
        mCluster.injectAt(InjectionPoint.HAND_OVER, this, mCluster.engine("e0"));
        if (mPaused || mTerminated) {
            return;
        }
        List<String> receivers = successors(mId);
        if (!receivers.isEmpty()) {
            mLedgers.values().forEach(l -> handOverLedger(receivers.get(0), l.handOver()));
        }
        sendGossip(mMembership.leave());
        mCoordinators.retireAll();
        mCluster.schedule(5_000, this::shutDown);
        // Never completed, so this method does nothing when it is called again.
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
