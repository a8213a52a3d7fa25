package org.fescuehollow.faults;

import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.membership.OutgoingMessage;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.suspects.CrashSuspects;
import org.fescuehollow.testsupport.TestFleet;

/** Nodes, engines, a platform and a network in virtual time, reproducible from a seed. */
final class SimulatedCluster {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final SortedMap<String, SimulatedNode> mNodes = new TreeMap<>();
    private final SortedMap<String, FakeEngine> mEngines = new TreeMap<>();
    private final List<PendingRequest> mPendingRequests = new ArrayList<>();
    private final Set<String> mLostCalls = new TreeSet<>();
    private final FakePlatform mPlatform = new FakePlatform();
    private final InvariantChecker mChecker = new InvariantChecker();
    private final Random mRandom;
    private final Map<InjectionPoint, Deque<Fault>> mFaults = new EnumMap<>(InjectionPoint.class);
    private BiPredicate<String, String> mBlocked = (a, b) -> false;
    private boolean mFaultsArmed;
    private int mInjectedFaultCount;
    private String mLoseNextFrom = "";
    private String mDelayNextFrom = "";
    private int mLoadsToFail;
    private long mLoadMillis = 50;
    private long mNowNanos;
    private long mNextNumber;

    /** An action at a point in virtual time; the sequence number breaks ties. */
    private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return nanos != o.nanos
                    ? Long.compare(nanos, o.nanos)
                    : Long.compare(sequence, o.sequence);
        }
    }

    /** A request from one node to another that has not been answered yet. */
    private static final class PendingRequest {
        private final String mFrom;
        private final String mTo;
        private final Runnable mOnLinkFailure;
        private boolean mDone;

        PendingRequest(String from, String to, Runnable onLinkFailure) {
            mFrom = from;
            mTo = to;
            mOnLinkFailure = onLinkFailure;
        }
    }

    SimulatedCluster(Fault fault, InjectionPoint point, long seed) {
        addFault(fault, point);
        mRandom = new Random(seed);
        for (int i = 0; i < 6; i++) {
            mPlatform.putVm(TestFleet.entryNode("n" + i, "d" + i % 2));
        }
        for (int i = 0; i < 4; i++) {
            Vm vm = TestFleet.engine("e" + i, "d" + i % 2);
            mPlatform.putVm(vm);
            mEngines.put(vm.id(), new FakeEngine(this, vm));
        }
        mPlatform.publishSettings();
        for (int i = 0; i < 6; i++) {
            startNode("n" + i);
        }
    }

    /** Starts a node, or restarts it, without any earlier state. */
    void startNode(String id) {
        SimulatedNode node = new SimulatedNode(this, id, "d" + (id.charAt(1) - '0') % 2);
        mNodes.put(id, node);
        node.start();
    }

    long now() {
        return mNowNanos;
    }

    long nextNumber() {
        return mNextNumber++;
    }

    Random random() {
        return mRandom;
    }

    InvariantChecker checker() {
        return mChecker;
    }

    FakePlatform platform() {
        return mPlatform;
    }

    FakeEngine engine(String id) {
        return mEngines.get(id);
    }

    void schedule(long millis, Runnable action) {
        mEvents.add(new Event(mNowNanos + millis * NANOS_PER_MILLI, mNextNumber++, action));
    }

    void runUntil(int seconds) {
        long end = seconds * 1_000L * NANOS_PER_MILLI;
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= end) {
            Event e = mEvents.poll();
            mNowNanos = e.nanos();
            e.action().run();
        }
        mNowNanos = end;
    }

    void armFaults() {
        mFaultsArmed = true;
    }

    int injectedFaultCount() {
        return mInjectedFaultCount;
    }

    /** Plans one more fault for an injection point. */
    SimulatedCluster addFault(Fault fault, InjectionPoint point) {
        mFaults.computeIfAbsent(point, p -> new ArrayDeque<>()).add(fault);
        return this;
    }

    /** Injects the next fault planned for the point; each once, after arming. */
    void injectAt(InjectionPoint point, SimulatedNode at, FakeEngine engine) {
        Fault fault = mFaultsArmed ? mFaults.getOrDefault(point, new ArrayDeque<>()).poll() : null;
        if (fault != null) {
            mInjectedFaultCount++;
            fault.inject(this, at, engine);
        }
    }

    SimulatedNode randomServingNode() {
        List<SimulatedNode> serving =
                mNodes.values().stream().filter(SimulatedNode::acceptsCalls).toList();
        return serving.get(mRandom.nextInt(serving.size()));
    }

    SimulatedNode randomNode() {
        List<SimulatedNode> all = List.copyOf(mNodes.values());
        return all.get(mRandom.nextInt(all.size()));
    }

    boolean sameDomain(String a, String b) {
        return (a.charAt(1) - b.charAt(1)) % 2 == 0;
    }

    void sendGossip(String from, OutgoingMessage out, List<CrashSuspects.Finding> findings) {
        boolean lost = mBlocked.test(from, out.to()) || consumeMessageLoss(from, mLoseNextFrom);
        if (lost || !mNodes.containsKey(out.to())) {
            return;
        }
        SimulatedNode to = mNodes.get(out.to());
        schedule(
                nextDelayMillis(from),
                () -> to.execute(() -> to.receiveGossip(out.message(), findings)));
    }

    /** Sends a crash finding to all nodes that can be reached. */
    void broadcastCrashFinding(String from, CrashSuspects.Finding finding) {
        mNodes.values().stream()
                .filter(n -> !n.id().equals(from) && !mBlocked.test(from, n.id()))
                .forEach(n -> schedule(1, () -> n.execute(() -> n.crashSuspects().merge(finding))));
    }

    /** Returns whether the next message of the node is to be lost, and clears the mark if so. */
    private boolean consumeMessageLoss(String from, String loseNextFrom) {
        boolean loses = from.equals(loseNextFrom);
        mLoseNextFrom = loses ? "" : mLoseNextFrom;
        return loses;
    }

    private long nextDelayMillis(String from) {
        boolean delayed = from.equals(mDelayNextFrom);
        mDelayNextFrom = delayed ? "" : mDelayNextFrom;
        return (delayed ? 3_000 : 1) + mRandom.nextInt(2);
    }

    /** Sends a request to another node. Either its reply arrives once, or the request fails. */
    void sendRequest(
            SimulatedNode from,
            String to,
            BiConsumer<SimulatedNode, Consumer<PeerReply>> serve,
            Consumer<PeerReply> onReply,
            Consumer<Problem> onFailure) {
        injectAt(InjectionPoint.FORWARD, from, mEngines.get("e0"));
        if (!mNodes.containsKey(to)
                || mBlocked.test(from.id(), to)
                || mBlocked.test(to, from.id())) {
            Problem unsent = shouldBeReachable(to, RunState.NOT_RUN, "no link");
            schedule(1, () -> from.execute(() -> onFailure.accept(unsent)));
            return;
        }
        SimulatedNode target = mNodes.get(to);
        Problem failure = shouldBeReachable(to, RunState.OUTCOME_UNKNOWN, "the link broke");
        PendingRequest request =
                new PendingRequest(
                        from.id(), to, () -> from.execute(() -> onFailure.accept(failure)));
        mPendingRequests.add(request);
        boolean lost = consumeMessageLoss(from.id(), mLoseNextFrom);
        schedule(
                nextDelayMillis(from.id()),
                () -> {
                    if (lost) {
                        failRequest(request);
                    } else if (!request.mDone) {
                        target.execute(
                                () ->
                                        serve.accept(
                                                target,
                                                r -> sendReply(request, from, target, r, onReply)));
                    }
                });
    }

    private void sendReply(
            PendingRequest request,
            SimulatedNode from,
            SimulatedNode to,
            PeerReply reply,
            Consumer<PeerReply> onReply) {
        schedule(
                nextDelayMillis(to.id()),
                () -> {
                    if (!request.mDone) {
                        request.mDone = true;
                        mPendingRequests.remove(request);
                        from.execute(() -> onReply.accept(reply));
                    }
                });
    }

    private void failRequest(PendingRequest request) {
        if (!request.mDone) {
            request.mDone = true;
            mPendingRequests.remove(request);
            request.mOnLinkFailure.run();
        }
    }

    private void failRequests(BiPredicate<String, String> matches) {
        List.copyOf(mPendingRequests).stream()
                .filter(r -> matches.test(r.mFrom, r.mTo) || matches.test(r.mTo, r.mFrom))
                .forEach(this::failRequest);
    }

    void loadAdapter(FakeEngine engine, AdapterRef adapter, Consumer<Boolean> done) {
        boolean fails = mLoadsToFail > 0;
        mLoadsToFail -= fails ? 1 : 0;
        String incarnation = engine.report().incarnation();
        schedule(
                mLoadMillis,
                () ->
                        done.accept(
                                !fails
                                        && incarnation.equals(engine.report().incarnation())
                                        && engine.load(adapter)));
    }

    void pauseNode(SimulatedNode node, int seconds) {
        node.pause();
        schedule(seconds * 1_000L, node::resume);
    }

    void crashNode(SimulatedNode node) {
        mNodes.remove(node.id());
        node.terminate();
        mLostCalls.addAll(node.openCalls());
        failRequests((a, b) -> b.equals(node.id()) || a.equals(node.id()));
        schedule(10_000, () -> startNode(node.id()));
    }

    void stopNodeGracefully(SimulatedNode node) {
        node.stopGracefully();
    }

    void removeNode(SimulatedNode node) {
        mNodes.remove(node.id());
        mPlatform.removeVm(node.id());
        failRequests((a, b) -> b.equals(node.id()));
    }

    void markEngineLeaving(FakeEngine engine) {
        engine.markLeaving(mNowNanos);
        mPlatform.putVm(TestFleet.leaving(engine.vm()));
    }

    void loseNextMessage(SimulatedNode from) {
        mLoseNextFrom = from.id();
    }

    void delayNextMessage(SimulatedNode from) {
        mDelayNextFrom = from.id();
    }

    void blockLinks(BiPredicate<String, String> isBlocked, int seconds) {
        mBlocked = isBlocked;
        failRequests(isBlocked);
        schedule(seconds * 1_000L, this::clearFaults);
    }

    void clearFaults() {
        mBlocked = (a, b) -> false;
        mLoadsToFail = 0;
        mLoadMillis = 50;
        mPlatform.setSettingsDown(false);
        mPlatform.setSettingsStale(false);
        mPlatform.setVmListFrozen(false);
    }

    void failNextLoads(int count) {
        mLoadsToFail = count;
    }

    void slowDownStore() {
        mLoadMillis = 4_000;
    }

    /** Sends a call that crashes engines several times, through random nodes. */
    void sendCrashingCalls() {
        AdapterRef adapter = new AdapterRef("a1", "v1");
        for (int i = 0; i < 8; i++) {
            int n = i;
            schedule(
                    1 + n * 700L,
                    () ->
                            sendCall(
                                    new SimulatedCall(
                                            "crash" + n, "crash", adapter, true, true, null),
                                    0));
        }
    }

    /** Sends a call through a random node, and again after each failure while retries remain. */
    void sendCall(SimulatedCall call, int retries) {
        SimulatedNode entry = randomServingNode();
        mChecker.onCall(call);
        entry.handleCall(
                call,
                result -> {
                    mChecker.onResult(call, result);
                    if (result.problem().isPresent() && retries > 0) {
                        SimulatedCall retry =
                                new SimulatedCall(
                                        call.id() + "+",
                                        call.key(),
                                        call.adapter(),
                                        call.repeatable(),
                                        call.crashesEngine(),
                                        call.ticket());
                        schedule(500, () -> sendCall(retry, retries - 1));
                    }
                });
    }

    void addLostCall(String callId) {
        mLostCalls.add(callId);
    }

    Set<String> lostCalls() {
        return mLostCalls;
    }

    int totalEngineCrashes() {
        return mEngines.values().stream().mapToInt(FakeEngine::crashCount).sum();
    }

    Collection<SimulatedNode> nodes() {
        return mNodes.values();
    }
}
