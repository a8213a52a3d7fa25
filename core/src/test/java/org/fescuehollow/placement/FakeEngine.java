package org.fescuehollow.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;
import org.fescuehollow.settings.FencingSupport;
import org.fescuehollow.settings.ServicePolicy;
import org.fescuehollow.settings.Weighting;

/** Drives a coordinator at random and checks its orders against what an engine would see. */
final class FakeEngine {
    private static final int ADAPTERS = 7;
    private static final long STEP_NANOS = 40_000_000;

    private final Map<String, AttemptSpec> mRunning = new TreeMap<>();
    private final Map<String, AttemptSpec> mUnanswered = new TreeMap<>();
    private final Set<AdapterRef> mResident = new TreeSet<>();
    private final Deque<Order> mPendingOrders = new ArrayDeque<>();
    private final List<String> mViolations = new ArrayList<>();
    private final PermitPool mPermits = new PermitPool("n1", 0, 5_000_000_000L);
    private final EngineCoordinator mCoordinator;
    private final int mSlots;
    private final int mBatch;
    private int mRestarts;
    private long mNow;
    private int mNextId;

    FakeEngine(int slots, int batch) {
        mSlots = slots;
        mBatch = batch;
        mPermits.setShare(0, new StoreShare(20, 2));
        ServicePolicy policy =
                new ServicePolicy(
                        "svc",
                        true,
                        slots,
                        batch,
                        16,
                        Weighting.STALLS_FIRST,
                        FencingSupport.IGNORED);
        mCoordinator =
                new EngineCoordinator(
                        "e1", "n1", policy, EvictionPolicy.LEAST_FREQUENTLY_USED, mPermits);
        execute(mCoordinator.beginTerm(0, 0));
        report();
    }

    void step(int random) {
        mNow += STEP_NANOS;
        int pick = random / 10;
        switch (random % 10) {
            case 0, 1, 2, 3 -> submit(pick);
            case 4, 5 -> finishOne(pick);
            case 6, 7 -> completeNextOrder(pick % 5 != 0);
            case 8 -> cancelOne(pick);
            default -> restartOrReport(pick);
        }
        execute(mCoordinator.tick(mNow));
    }

    private void submit(int pick) {
        AdapterRef adapter = new AdapterRef("a" + pick % ADAPTERS, "v1");
        String id = "w" + mNextId++;
        long deadline = mNow + Duration.ofSeconds(20).toNanos();
        AttemptSpec work =
                new AttemptSpec(
                        id,
                        "t" + pick % 3,
                        1,
                        Priority.values()[pick % 3],
                        Optional.of(adapter),
                        mNow,
                        deadline,
                        AdmissionMode.values()[pick % 3],
                        0,
                        pick % 11 == 0);
        mUnanswered.put(id, work);
        execute(mCoordinator.submit(mNow, work));
    }

    private void finishOne(int pick) {
        if (!mRunning.isEmpty()) {
            String id = List.copyOf(mRunning.keySet()).get(pick % mRunning.size());
            mRunning.remove(id);
            execute(mCoordinator.onFinished(mNow, id));
        }
    }

    private void cancelOne(int pick) {
        if (!mUnanswered.isEmpty()) {
            String id = List.copyOf(mUnanswered.keySet()).get(pick % mUnanswered.size());
            if (mCoordinator.cancel(id)) {
                mUnanswered.remove(id);
            }
        }
    }

    private void completeNextOrder(boolean ok) {
        Order order = mPendingOrders.poll();
        if (order instanceof Order.Load load) {
            if (ok) {
                mResident.add(load.adapter());
            }
            recordUnless(mResident.size() <= mSlots, "more adapters than slots");
            recordUnless(mPermits.outstanding() <= 2, "more loads in transit than allowed");
            execute(mCoordinator.onLoaded(mNow, load.adapter(), ok));
        } else if (order instanceof Order.Unload unload) {
            execute(mCoordinator.onUnloaded(mNow, unload.adapter(), true));
        } else if (order instanceof Order.RequestReport) {
            report();
        }
    }

    private void restartOrReport(int pick) {
        if (pick % 3 == 0 && mPendingOrders.isEmpty()) {
            mRestarts++;
            mResident.clear();
            List<String> lost = List.copyOf(mRunning.keySet());
            mRunning.clear();
            report();
            lost.forEach(id -> execute(mCoordinator.onFinished(mNow, id)));
        } else {
            report();
        }
    }

    private void report() {
        SortedMap<AdapterRef, Integer> running = new TreeMap<>();
        mResident.forEach(a -> running.put(a, 0));
        mRunning.values().forEach(w -> running.merge(w.adapter().orElseThrow(), 1, Integer::sum));
        running.keySet().retainAll(mResident);
        execute(
                mCoordinator.onReport(
                        mNow, mNow, new EngineReport("life" + mRestarts, running, 0)));
    }

    void execute(List<Order> orders) {
        orders.forEach(this::execute);
    }

    private void execute(Order order) {
        if (order instanceof Order.Load) {
            mPendingOrders.add(order);
        } else if (order instanceof Order.Unload unload) {
            boolean inUse = mRunning.values().stream().anyMatch(w -> w.needs(unload.adapter()));
            recordUnless(!inUse, "evicted in use: " + unload.adapter());
            mResident.remove(unload.adapter());
            mPendingOrders.add(order);
        } else if (order instanceof Order.RequestReport) {
            mPendingOrders.add(order);
        } else if (order instanceof Order.Start start) {
            start(start.attempt());
        } else if (order instanceof Order.Refuse refuse) {
            recordUnless(
                    refuse.problem().runState() == RunState.NOT_RUN,
                    "refused as " + refuse.problem());
            markAnswered(refuse.attempt());
        } else if (order instanceof Order.Decline declined) {
            markAnswered(declined.attempt());
        }
    }

    private void start(AttemptSpec work) {
        markAnswered(work);
        recordUnless(
                mResident.contains(work.adapter().orElseThrow()), "started without its adapter");
        mRunning.put(work.id(), work);
        recordUnless(mRunning.size() <= mBatch, "batch exceeded");
        long suspects = mRunning.values().stream().filter(AttemptSpec::suspect).count();
        recordUnless(suspects <= 1, "two suspects on one engine");
    }

    private void markAnswered(AttemptSpec work) {
        recordUnless(mUnanswered.remove(work.id()) != null, "answered twice: " + work.id());
    }

    private void recordUnless(boolean holds, String violation) {
        if (!holds) {
            mViolations.add(violation);
        }
    }

    void completeLoads() {
        for (int i = 0; i < 10; i++) {
            mNow += STEP_NANOS;
            execute(mCoordinator.tick(mNow));
            completeNextOrder(true);
        }
    }

    /** Lets everything under way end well, as it would without further faults. */
    void completeAll() {
        for (int i = 0; i < 1_000; i++) {
            mNow += STEP_NANOS;
            completeNextOrder(true);
            finishOne(0);
            execute(mCoordinator.tick(mNow));
        }
    }

    AdapterRef runningAdapter() {
        return mRunning.values().iterator().next().adapter().orElseThrow();
    }

    List<String> violations() {
        return mViolations;
    }

    Set<String> unanswered() {
        return mUnanswered.keySet();
    }
}
