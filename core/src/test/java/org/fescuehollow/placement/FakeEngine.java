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

/** Drives a coordinator with random events and checks its orders as an engine would see them. */
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
        int choice = random / 10;
        switch (random % 10) {
            case 0, 1, 2, 3 -> submit(choice);
            case 4, 5 -> finishOne(choice);
            case 6, 7 -> completeNextOrder(choice % 5 != 0);
            case 8 -> cancelOne(choice);
            default -> restartOrReport(choice);
        }
        execute(mCoordinator.tick(mNow));
    }

    private void submit(int choice) {
        AdapterRef adapter = new AdapterRef("a" + choice % ADAPTERS, "v1");
        String id = "w" + mNextId++;
        long deadline = mNow + Duration.ofSeconds(20).toNanos();
        AttemptSpec attempt =
                new AttemptSpec(
                        id,
                        "t" + choice % 3,
                        1,
                        Priority.values()[choice % 3],
                        Optional.of(adapter),
                        mNow,
                        deadline,
                        AdmissionMode.values()[choice % 3],
                        0,
                        choice % 11 == 0);
        mUnanswered.put(id, attempt);
        execute(mCoordinator.submit(mNow, attempt));
    }

    private void finishOne(int choice) {
        if (!mRunning.isEmpty()) {
            String id = List.copyOf(mRunning.keySet()).get(choice % mRunning.size());
            mRunning.remove(id);
            execute(mCoordinator.onFinished(mNow, id));
        }
    }

    private void cancelOne(int choice) {
        if (!mUnanswered.isEmpty()) {
            String id = List.copyOf(mUnanswered.keySet()).get(choice % mUnanswered.size());
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

    private void restartOrReport(int choice) {
        if (choice % 3 == 0 && mPendingOrders.isEmpty()) {
            mRestarts++;
            mResident.clear();
            List<String> failed = List.copyOf(mRunning.keySet());
            mRunning.clear();
            report();
            failed.forEach(id -> execute(mCoordinator.onFinished(mNow, id)));
        } else {
            report();
        }
    }

    private void report() {
        SortedMap<AdapterRef, Integer> running = new TreeMap<>();
        mResident.forEach(a -> running.put(a, 0));
        mRunning.values().forEach(a -> running.merge(a.adapter().orElseThrow(), 1, Integer::sum));
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
            boolean inUse = mRunning.values().stream().anyMatch(a -> a.needs(unload.adapter()));
            recordUnless(!inUse, "unloaded an adapter in use: " + unload.adapter());
            mResident.remove(unload.adapter());
            mPendingOrders.add(order);
        } else if (order instanceof Order.RequestReport) {
            mPendingOrders.add(order);
        } else if (order instanceof Order.Start start) {
            start(start.attempt());
        } else if (order instanceof Order.Refuse refuse) {
            recordUnless(
                    refuse.problem().runState() == RunState.NOT_RUN,
                    "expected a refusal with NOT_RUN, got " + refuse.problem());
            markAnswered(refuse.attempt());
        } else if (order instanceof Order.Decline declined) {
            markAnswered(declined.attempt());
        }
    }

    private void start(AttemptSpec attempt) {
        markAnswered(attempt);
        recordUnless(
                mResident.contains(attempt.adapter().orElseThrow()),
                "started an attempt whose adapter isn't resident");
        mRunning.put(attempt.id(), attempt);
        recordUnless(mRunning.size() <= mBatch, "more running attempts than the batch");
        long suspects = mRunning.values().stream().filter(AttemptSpec::suspect).count();
        recordUnless(suspects <= 1, "more than one suspect running");
    }

    private void markAnswered(AttemptSpec attempt) {
        recordUnless(
                mUnanswered.remove(attempt.id()) != null,
                "more than one result for attempt " + attempt.id());
    }

    private void recordUnless(boolean valid, String violation) {
        if (!valid) {
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

    /** Completes all open orders and attempts successfully. */
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
