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

/** An engine simulated in virtual time, with its real coordinator. Not safe for concurrent use. */
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

    /** Handles the next step of a request. */
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

    void submit(Request request, AttemptPlan plan, AttemptPlan.Step.Submit step) {
        String id = "r" + request.number();
        mWaiting.put(id, new PendingRequest(request, plan));
        long deadline =
                request.arrivalNanos()
                        + Duration.ofMillis(request.priority().startTimeoutMillis()).toNanos();
        AttemptSpec attempt =
                new AttemptSpec(
                        id,
                        "t" + request.team(),
                        1,
                        request.priority(),
                        Optional.of(request.adapter()),
                        request.arrivalNanos(),
                        deadline,
                        step.admissionMode(),
                        step.knownUses(),
                        false);
        execute(mCoordinator.submit(mTimeline.nowNanos(), attempt));
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
            int incarnation = mIncarnation;
            mStore.load(() -> onLoaded(load.adapter(), incarnation == mIncarnation));
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
            PendingRequest pending = mWaiting.remove(refuse.attempt().id());
            mStepHandler.handle(
                    pending.request(),
                    pending.plan(),
                    pending.plan().onFailed(refuse.problem(), false));
        } else if (order instanceof Order.Decline decline) {
            PendingRequest pending = mWaiting.remove(decline.attempt().id());
            mStepHandler.handle(
                    pending.request(), pending.plan(), pending.plan().onDeclined(decline.quote()));
        }
    }

    private void onLoaded(AdapterRef adapter, boolean isLoaded) {
        if (isLoaded) {
            mResident.add(adapter);
        }
        execute(mCoordinator.onLoaded(mTimeline.nowNanos(), adapter, isLoaded));
    }

    private void start(Order.Start start) {
        String id = start.attempt().id();
        Request request = mWaiting.remove(id).request();
        recordRunning();
        mRunning.put(id, request.adapter());
        mRecorder.recordStart(request, mTimeline.nowNanos(), start.stalled());
        int incarnation = mIncarnation;
        mTimeline.scheduleAfter(request.serviceNanos(), () -> onEnded(id, incarnation));
    }

    private void onEnded(String id, int incarnation) {
        if (incarnation == mIncarnation) {
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
