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

/** Nodes, engines, platform and network in virtual time, from a seed. */
final class SimulatedCluster {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PriorityQueue<ScheduledEvent> mEvents = new PriorityQueue<>();
    private final SortedMap<String, SimulatedNode> mNodes = new TreeMap<>();
    private final SortedMap<String, FakeEngine> mEngines = new TreeMap<>();
    private final List<PendingRequest> mPendingRequests = new ArrayList<>();
    private final Set<String> mLostCalls = new TreeSet<>();
    private final FakePlatform mPlatform = new FakePlatform();
    private final InvariantChecker mChecker = new InvariantChecker();
    private final Random mRandom;
    private final Map<InjectionPoint, Deque<Fault>> mPendingFaults =
            new EnumMap<>(InjectionPoint.class);
    private BiPredicate<String, String> mIsLinkBlocked = (a, b) -> false;
    private boolean mFaultsArmed;
    private int mInjectedFaultCount;
    private String mLoseNextFrom = "";
    private String mDelayNextFrom = "";
    private int mLoadsToFail;
    private long mLoadMillis = 50;
    private long mNowNanos;
    private long mNextNumber;

    /** An event and its time. */
    private record ScheduledEvent(long timeNanos, long sequence, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent o) {
            return timeNanos != o.timeNanos
                    ? Long.compare(timeNanos, o.timeNanos)
                    : Long.compare(sequence, o.sequence);
        }
    }

    /** A request between two nodes that waits for its reply. */
    private static final class PendingRequest {
        private final String mFrom;
        private final String mTo;
        private final Runnable mOnLinkFailure;
        private boolean mDone;

        PendingRequest(String from, String to, Runnable onBreak) {
            mFrom = from;
            mTo = to;
            mOnLinkFailure = onBreak;
        }
    }

    SimulatedCluster(Fault fault, InjectionPoint step, long seed) {
        addFault(fault, step);
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

    void startNode(String id) {
        SimulatedNode node = new SimulatedNode(this, id, "d" + (id.charAt(1) - '0') % 2);
        mNodes.put(id, node);
        node.start();
    }

    long nowNanos() {
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

    void scheduleAfter(long millis, Runnable action) {
        mEvents.add(
                new ScheduledEvent(mNowNanos + millis * NANOS_PER_MILLI, mNextNumber++, action));
    }

    void runUntil(int second) {
        long end = second * 1_000L * NANOS_PER_MILLI;
        while (!mEvents.isEmpty() && mEvents.peek().timeNanos() <= end) {
            ScheduledEvent e = mEvents.poll();
            mNowNanos = e.timeNanos();
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

    /** Adds one more fault. */
    SimulatedCluster addFault(Fault fault, InjectionPoint step) {
        mPendingFaults.computeIfAbsent(step, s -> new ArrayDeque<>()).add(fault);
        return this;
    }

    /** Each fault strikes once, when its step is first reached after arming. */
    void reachInjectionPoint(InjectionPoint step, SimulatedNode at, FakeEngine server) {
        Fault fault =
                mFaultsArmed ? mPendingFaults.getOrDefault(step, new ArrayDeque<>()).poll() : null;
        if (fault != null) {
            mInjectedFaultCount++;
            fault.inject(this, at, server);
        }
    }

    SimulatedNode randomServingNode() {
        List<SimulatedNode> alive =
                mNodes.values().stream().filter(SimulatedNode::acceptsCalls).toList();
        return alive.get(mRandom.nextInt(alive.size()));
    }

    SimulatedNode randomNode() {
        List<SimulatedNode> all = List.copyOf(mNodes.values());
        return all.get(mRandom.nextInt(all.size()));
    }

    boolean sameDomain(String a, String b) {
        return (a.charAt(1) - b.charAt(1)) % 2 == 0;
    }

    void sendGossip(String from, OutgoingMessage out, List<CrashSuspects.Finding> findings) {
        boolean lost =
                mIsLinkBlocked.test(from, out.to()) || consumeMessageLoss(from, mLoseNextFrom);
        if (lost || !mNodes.containsKey(out.to())) {
            return;
        }
        SimulatedNode to = mNodes.get(out.to());
        scheduleAfter(
                nextDelayMillis(from),
                () -> to.runOrDefer(() -> to.receiveGossip(out.message(), findings)));
    }

    /** Tells all nodes that can be reached of a crash. */
    void broadcastCrashFinding(String from, CrashSuspects.Finding finding) {
        mNodes.values().stream()
                .filter(n -> !n.id().equals(from) && !mIsLinkBlocked.test(from, n.id()))
                .forEach(
                        n ->
                                scheduleAfter(
                                        1,
                                        () ->
                                                n.runOrDefer(
                                                        () -> n.crashSuspects().merge(finding))));
    }

    private boolean consumeMessageLoss(String from, String marked) {
        boolean hit = from.equals(marked);
        mLoseNextFrom = hit ? "" : mLoseNextFrom;
        return hit;
    }

    private long nextDelayMillis(String from) {
        boolean late = from.equals(mDelayNextFrom);
        mDelayNextFrom = late ? "" : mDelayNextFrom;
        return (late ? 3_000 : 1) + mRandom.nextInt(2);
    }

    /** Sends a request to another node; the reply comes once, or the link breaks. */
    void sendRequest(
            SimulatedNode from,
            String to,
            BiConsumer<SimulatedNode, Consumer<PeerReply>> serve,
            Consumer<PeerReply> reply,
            Consumer<Problem> failed) {
        reachInjectionPoint(InjectionPoint.FORWARD, from, mEngines.get("e0"));
        if (!mNodes.containsKey(to)
                || mIsLinkBlocked.test(from.id(), to)
                || mIsLinkBlocked.test(to, from.id())) {
            Problem unsent = shouldBeReachable(to, RunState.NOT_RUN, "no link");
            scheduleAfter(1, () -> from.runOrDefer(() -> failed.accept(unsent)));
            return;
        }
        SimulatedNode target = mNodes.get(to);
        Problem broke = shouldBeReachable(to, RunState.OUTCOME_UNKNOWN, "the link broke");
        PendingRequest s =
                new PendingRequest(
                        from.id(), to, () -> from.runOrDefer(() -> failed.accept(broke)));
        mPendingRequests.add(s);
        boolean lost = consumeMessageLoss(from.id(), mLoseNextFrom);
        scheduleAfter(
                nextDelayMillis(from.id()),
                () -> {
                    if (lost) {
                        failRequest(s);
                    } else if (!s.mDone) {
                        target.runOrDefer(
                                () ->
                                        serve.accept(
                                                target, r -> sendReply(s, from, target, r, reply)));
                    }
                });
    }

    private void sendReply(
            PendingRequest s,
            SimulatedNode from,
            SimulatedNode to,
            PeerReply r,
            Consumer<PeerReply> reply) {
        scheduleAfter(
                nextDelayMillis(to.id()),
                () -> {
                    if (!s.mDone) {
                        s.mDone = true;
                        mPendingRequests.remove(s);
                        from.runOrDefer(() -> reply.accept(r));
                    }
                });
    }

    private void failRequest(PendingRequest s) {
        if (!s.mDone) {
            s.mDone = true;
            mPendingRequests.remove(s);
            s.mOnLinkFailure.run();
        }
    }

    private void failRequests(BiPredicate<String, String> which) {
        List.copyOf(mPendingRequests).stream()
                .filter(s -> which.test(s.mFrom, s.mTo) || which.test(s.mTo, s.mFrom))
                .forEach(this::failRequest);
    }

    void loadAdapter(FakeEngine server, AdapterRef adapter, Consumer<Boolean> done) {
        boolean fails = mLoadsToFail > 0;
        mLoadsToFail -= fails ? 1 : 0;
        String life = server.report().incarnation();
        scheduleAfter(
                mLoadMillis,
                () ->
                        done.accept(
                                !fails
                                        && life.equals(server.report().incarnation())
                                        && server.load(adapter)));
    }

    void pauseNode(SimulatedNode node, int seconds) {
        node.pause();
        scheduleAfter(seconds * 1_000L, node::resume);
    }

    void crashNode(SimulatedNode node) {
        mNodes.remove(node.id());
        node.terminate();
        mLostCalls.addAll(node.openCalls());
        failRequests((a, b) -> b.equals(node.id()) || a.equals(node.id()));
        scheduleAfter(10_000, () -> startNode(node.id()));
    }

    void stopNodeGracefully(SimulatedNode node) {
        node.stopGracefully();
    }

    void removeNode(SimulatedNode node) {
        mNodes.remove(node.id());
        mPlatform.removeVm(node.id());
        failRequests((a, b) -> b.equals(node.id()));
    }

    void markEngineLeaving(FakeEngine server) {
        server.markLeaving(mNowNanos);
        mPlatform.putVm(TestFleet.leaving(server.vm()));
    }

    void loseNextMessage(SimulatedNode from) {
        mLoseNextFrom = from.id();
    }

    void delayNextMessage(SimulatedNode from) {
        mDelayNextFrom = from.id();
    }

    void blockLinks(BiPredicate<String, String> cut, int seconds) {
        mIsLinkBlocked = cut;
        failRequests(cut);
        scheduleAfter(seconds * 1_000L, this::clearFaults);
    }

    void clearFaults() {
        mIsLinkBlocked = (a, b) -> false;
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

    /** Sends one crashing call, again and again, through any node. */
    void sendCrashingCalls() {
        AdapterRef adapter = new AdapterRef("a1", "v1");
        for (int i = 0; i < 8; i++) {
            int n = i;
            scheduleAfter(
                    1 + n * 700L,
                    () ->
                            sendCall(
                                    new SimulatedCall(
                                            "crash" + n, "crash", adapter, true, true, null),
                                    0));
        }
    }

    /** A caller sends a call through any node, and again if it failed. */
    void sendCall(SimulatedCall call, int resends) {
        SimulatedNode entry = randomServingNode();
        mChecker.onCall(call);
        entry.handleCall(
                call,
                answer -> {
                    mChecker.onResult(call, answer);
                    if (answer.problem().isPresent() && resends > 0) {
                        SimulatedCall again =
                                new SimulatedCall(
                                        call.id() + "+",
                                        call.key(),
                                        call.adapter(),
                                        call.repeatable(),
                                        call.crashesEngine(),
                                        call.ticket());
                        scheduleAfter(500, () -> sendCall(again, resends - 1));
                    }
                });
    }

    void addLostCall(String call) {
        mLostCalls.add(call);
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
