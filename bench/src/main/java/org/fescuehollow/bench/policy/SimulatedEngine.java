package org.fescuehollow.bench.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.placement.AttemptSpec;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.EngineReport;
import org.fescuehollow.placement.Order;
import org.fescuehollow.routing.AttemptPlan;

/** One engine in virtual time and its real coordinator. Not safe for concurrent use. */
final class SimulatedEngine {
    private static final long UNLOAD_NANOS = Duration.ofMillis(5).toNanos();
    private static final long REPORT_NANOS = Duration.ofMillis(2).toNanos();
    private static final String INCARNATION_PREFIX = "life";

    private final EngineCoordinator mCoordinator;
    private final VirtualTimeline mTimeline;
    private final SimulatedStore mStore;
    private final Recorder mRecorder;
    private final StepHandler mStepHandler;
    private final Map<String, PendingRequest> mWaiting = new HashMap<>();
    private final Map<String, AdapterRef> mRunning = new HashMap<>();
    private final Set<AdapterRef> mResident = new HashSet<>();
    private int mIncarnation;
    private long mLastRecordedNanos;

    /** A request and the plan of its attempts. */
    record PendingRequest(Request request, AttemptPlan plan) {}

    /** Takes the next step of a request. */
    interface StepHandler {
        void handle(Request request, AttemptPlan plan, AttemptPlan.Step step);
    }

    SimulatedEngine(
            EngineCoordinator coordinator,
            VirtualTimeline timeline,
            SimulatedStore store,
            Recorder recorder,
            StepHandler next) {
        mCoordinator = coordinator;
        mTimeline = timeline;
        mStore = store;
        mRecorder = recorder;
        mStepHandler = next;
    }

    void begin() {
        mCoordinator.beginTerm(mTimeline.nowNanos(), 0);
        report();
    }

    void restart() {
        mIncarnation++;
        recordRunning();
        List<String> lost = List.copyOf(mRunning.keySet());
        mRunning.clear();
        mResident.clear();
        report();
        lost.forEach(id -> execute(mCoordinator.onFinished(mTimeline.nowNanos(), id)));
    }

    private void report() {
        SortedMap<AdapterRef, Integer> running = new TreeMap<>();
        mResident.forEach(a -> running.put(a, 0));
        mRunning.values().forEach(a -> running.merge(a, 1, Integer::sum));
        long now = mTimeline.nowNanos();
        execute(
                mCoordinator.onReport(
                        now, now, new EngineReport(INCARNATION_PREFIX + mIncarnation, running, 0)));
    }

    int openRequests() {
        return mRunning.size() + mWaiting.size();
    }

    void submit(Request r, AttemptPlan plan, AttemptPlan.Step.Submit step) {
        String id = "r" + r.number();
        mWaiting.put(id, new PendingRequest(r, plan));
        long deadline =
                r.arrivalNanos() + Duration.ofMillis(r.priority().startTimeoutMillis()).toNanos();
        AttemptSpec work =
                new AttemptSpec(
                        id,
                        "t" + r.team(),
                        1,
                        r.priority(),
                        Optional.of(r.adapter()),
                        r.arrivalNanos(),
                        deadline,
                        step.admissionMode(),
                        step.knownUses(),
                        false);
        execute(mCoordinator.submit(mTimeline.nowNanos(), work));
    }

    void tick() {
        if (!mWaiting.isEmpty()) {
            execute(mCoordinator.tick(mTimeline.nowNanos()));
        }
    }

    private void execute(List<Order> orders) {
        orders.forEach(this::execute);
    }

    private void execute(Order order) {
        if (order instanceof Order.Load load) {
            int life = mIncarnation;
            mStore.load(() -> onLoaded(load.adapter(), life == mIncarnation));
        } else if (order instanceof Order.RequestReport) {
            mTimeline.scheduleAfter(REPORT_NANOS, this::report);
        } else if (order instanceof Order.Unload unload) {
            mResident.remove(unload.adapter());
            mTimeline.scheduleAfter(
                    UNLOAD_NANOS,
                    () ->
                            execute(
                                    mCoordinator.onUnloaded(
                                            mTimeline.nowNanos(), unload.adapter(), true)));
        } else if (order instanceof Order.Start start) {
            start(start);
        } else if (order instanceof Order.Refuse refuse) {
            PendingRequest s = mWaiting.remove(refuse.attempt().id());
            mStepHandler.handle(s.request(), s.plan(), s.plan().onFailed(refuse.problem(), false));
        } else if (order instanceof Order.Decline decline) {
            PendingRequest s = mWaiting.remove(decline.attempt().id());
            mStepHandler.handle(s.request(), s.plan(), s.plan().onDeclined(decline.quote()));
        }
    }

    private void onLoaded(AdapterRef adapter, boolean ok) {
        if (ok) {
            mResident.add(adapter);
        }
        execute(mCoordinator.onLoaded(mTimeline.nowNanos(), adapter, ok));
    }

    private void start(Order.Start start) {
        String id = start.attempt().id();
        Request r = mWaiting.remove(id).request();
        recordRunning();
        mRunning.put(id, r.adapter());
        mRecorder.recordStart(r, mTimeline.nowNanos(), start.stalled());
        int life = mIncarnation;
        mTimeline.scheduleAfter(r.serviceNanos(), () -> onEnded(id, life));
    }

    private void onEnded(String id, int life) {
        if (life == mIncarnation) {
            recordRunning();
            mRunning.remove(id);
            execute(mCoordinator.onFinished(mTimeline.nowNanos(), id));
        }
    }

    private void recordRunning() {
        mRecorder.recordRunning(mRunning.size(), mTimeline.nowNanos() - mLastRecordedNanos);
        mLastRecordedNanos = mTimeline.nowNanos();
    }
}
