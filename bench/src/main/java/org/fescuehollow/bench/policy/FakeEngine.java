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
final class FakeEngine {
    private static final long UNLOAD_NANOS = Duration.ofMillis(5).toNanos();
    private static final long REPORT_NANOS = Duration.ofMillis(2).toNanos();
    private static final String SERVICE_LIFE = "life";

    private final EngineCoordinator mCoordinator;
    private final Timeline mTimeline;
    private final FakeStore mStore;
    private final Recorder mRecorder;
    private final Next mNext;
    private final Map<String, Submitted> mWaiting = new HashMap<>();
    private final Map<String, AdapterRef> mRunning = new HashMap<>();
    private final Set<AdapterRef> mResident = new HashSet<>();
    private int mLife;
    private long mCountedNanos;

    /** A request and the plan of its attempts. */
    record Submitted(Request request, AttemptPlan plan) {}

    /** Takes the next step of a request. */
    interface Next {
        void follow(Request request, AttemptPlan plan, AttemptPlan.Step step);
    }

    FakeEngine(
            EngineCoordinator coordinator,
            Timeline timeline,
            FakeStore store,
            Recorder recorder,
            Next next) {
        mCoordinator = coordinator;
        mTimeline = timeline;
        mStore = store;
        mRecorder = recorder;
        mNext = next;
    }

    void begin() {
        mCoordinator.beginTerm(mTimeline.now(), 0);
        report();
    }

    void restart() {
        mLife++;
        count();
        List<String> lost = List.copyOf(mRunning.keySet());
        mRunning.clear();
        mResident.clear();
        report();
        lost.forEach(id -> carryOut(mCoordinator.onFinished(mTimeline.now(), id)));
    }

    private void report() {
        SortedMap<AdapterRef, Integer> running = new TreeMap<>();
        mResident.forEach(a -> running.put(a, 0));
        mRunning.values().forEach(a -> running.merge(a, 1, Integer::sum));
        long now = mTimeline.now();
        carryOut(
                mCoordinator.onReport(
                        now, now, new EngineReport(SERVICE_LIFE + mLife, running, 0)));
    }

    int requests() {
        return mRunning.size() + mWaiting.size();
    }

    void submit(Request r, AttemptPlan plan, AttemptPlan.Step.Submit step) {
        String id = "r" + r.number();
        mWaiting.put(id, new Submitted(r, plan));
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
        carryOut(mCoordinator.submit(mTimeline.now(), work));
    }

    void tick() {
        if (!mWaiting.isEmpty()) {
            carryOut(mCoordinator.tick(mTimeline.now()));
        }
    }

    private void carryOut(List<Order> orders) {
        orders.forEach(this::carryOut);
    }

    private void carryOut(Order order) {
        if (order instanceof Order.Load load) {
            int life = mLife;
            mStore.load(() -> loaded(load.adapter(), life == mLife));
        } else if (order instanceof Order.RequestReport) {
            mTimeline.after(REPORT_NANOS, this::report);
        } else if (order instanceof Order.Unload unload) {
            mResident.remove(unload.adapter());
            mTimeline.after(
                    UNLOAD_NANOS,
                    () ->
                            carryOut(
                                    mCoordinator.onUnloaded(
                                            mTimeline.now(), unload.adapter(), true)));
        } else if (order instanceof Order.Start start) {
            start(start);
        } else if (order instanceof Order.Refuse refuse) {
            Submitted s = mWaiting.remove(refuse.attempt().id());
            mNext.follow(s.request(), s.plan(), s.plan().onFailed(refuse.problem(), false));
        } else if (order instanceof Order.Decline decline) {
            Submitted s = mWaiting.remove(decline.attempt().id());
            mNext.follow(s.request(), s.plan(), s.plan().onDeclined(decline.quote()));
        }
    }

    private void loaded(AdapterRef adapter, boolean ok) {
        if (ok) {
            mResident.add(adapter);
        }
        carryOut(mCoordinator.onLoaded(mTimeline.now(), adapter, ok));
    }

    private void start(Order.Start start) {
        String id = start.attempt().id();
        Request r = mWaiting.remove(id).request();
        count();
        mRunning.put(id, r.adapter());
        mRecorder.started(r, mTimeline.now(), start.stalled());
        int life = mLife;
        mTimeline.after(r.serviceNanos(), () -> ended(id, life));
    }

    private void ended(String id, int life) {
        if (life == mLife) {
            count();
            mRunning.remove(id);
            carryOut(mCoordinator.onFinished(mTimeline.now(), id));
        }
    }

    private void count() {
        mRecorder.ran(mRunning.size(), mTimeline.now() - mCountedNanos);
        mCountedNanos = mTimeline.now();
    }
}
