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

    private final Map<String, Work> mRunning = new TreeMap<>();
    private final Map<String, Work> mOpen = new TreeMap<>();
    private final Set<AdapterRef> mResident = new TreeSet<>();
    private final Deque<Order> mPending = new ArrayDeque<>();
    private final List<String> mViolations = new ArrayList<>();
    private final PermitBank mBudget = new PermitBank("n1", 0, 5_000_000_000L);
    private final EngineCoordinator mCoordinator;
    private final int mSlots;
    private final int mBatch;
    private int mLife;
    private long mNow;
    private int mNext;

    FakeEngine(int slots, int batch) {
        mSlots = slots;
        mBatch = batch;
        mBudget.setShare(0, new StoreShare(20, 2));
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
                new EngineCoordinator("e1", "n1", policy, Eviction.LEAST_FREQUENT_AGED, mBudget);
        carryOut(mCoordinator.begin(0, 0));
        report();
    }

    void step(int random) {
        mNow += STEP_NANOS;
        int pick = random / 10;
        switch (random % 10) {
            case 0, 1, 2, 3 -> submit(pick);
            case 4, 5 -> finishOne(pick);
            case 6, 7 -> orderEnds(pick % 5 != 0);
            case 8 -> cancelOne(pick);
            default -> restartOrReport(pick);
        }
        carryOut(mCoordinator.tick(mNow));
    }

    private void submit(int pick) {
        AdapterRef adapter = new AdapterRef("a" + pick % ADAPTERS, "v1");
        String id = "w" + mNext++;
        long deadline = mNow + Duration.ofSeconds(20).toNanos();
        Work work =
                new Work(
                        id,
                        "t" + pick % 3,
                        1,
                        Priority.values()[pick % 3],
                        Optional.of(adapter),
                        mNow,
                        deadline,
                        Ask.values()[pick % 3],
                        0,
                        pick % 11 == 0);
        mOpen.put(id, work);
        carryOut(mCoordinator.submit(mNow, work));
    }

    private void finishOne(int pick) {
        if (!mRunning.isEmpty()) {
            String id = List.copyOf(mRunning.keySet()).get(pick % mRunning.size());
            mRunning.remove(id);
            carryOut(mCoordinator.finished(mNow, id));
        }
    }

    private void cancelOne(int pick) {
        if (!mOpen.isEmpty()) {
            String id = List.copyOf(mOpen.keySet()).get(pick % mOpen.size());
            if (mCoordinator.cancel(id)) {
                mOpen.remove(id);
            }
        }
    }

    private void orderEnds(boolean ok) {
        Order order = mPending.poll();
        if (order instanceof Order.Load load) {
            if (ok) {
                mResident.add(load.adapter());
            }
            check(mResident.size() <= mSlots, "more adapters than slots");
            check(mBudget.out() <= 2, "more loads in transit than allowed");
            carryOut(mCoordinator.loaded(mNow, load.adapter(), ok));
        } else if (order instanceof Order.Unload unload) {
            carryOut(mCoordinator.unloaded(mNow, unload.adapter(), true));
        } else if (order instanceof Order.Inspect) {
            report();
        }
    }

    private void restartOrReport(int pick) {
        if (pick % 3 == 0 && mPending.isEmpty()) {
            mLife++;
            mResident.clear();
            List<String> lost = List.copyOf(mRunning.keySet());
            mRunning.clear();
            report();
            lost.forEach(id -> carryOut(mCoordinator.finished(mNow, id)));
        } else {
            report();
        }
    }

    private void report() {
        SortedMap<AdapterRef, Integer> running = new TreeMap<>();
        mResident.forEach(a -> running.put(a, 0));
        mRunning.values().forEach(w -> running.merge(w.adapter().orElseThrow(), 1, Integer::sum));
        running.keySet().retainAll(mResident);
        carryOut(mCoordinator.reported(mNow, mNow, new EngineReport("life" + mLife, running, 0)));
    }

    void carryOut(List<Order> orders) {
        orders.forEach(this::carryOut);
    }

    private void carryOut(Order order) {
        if (order instanceof Order.Load) {
            mPending.add(order);
        } else if (order instanceof Order.Unload unload) {
            boolean inUse = mRunning.values().stream().anyMatch(w -> w.needs(unload.adapter()));
            check(!inUse, "evicted in use: " + unload.adapter());
            mResident.remove(unload.adapter());
            mPending.add(order);
        } else if (order instanceof Order.Inspect) {
            mPending.add(order);
        } else if (order instanceof Order.Start start) {
            start(start.work());
        } else if (order instanceof Order.Refuse refuse) {
            check(
                    refuse.problem().runState() == RunState.NOT_RUN,
                    "refused as " + refuse.problem());
            close(refuse.work());
        } else if (order instanceof Order.Decline declined) {
            close(declined.work());
        }
    }

    private void start(Work work) {
        close(work);
        check(mResident.contains(work.adapter().orElseThrow()), "started without its adapter");
        mRunning.put(work.attempt(), work);
        check(mRunning.size() <= mBatch, "batch exceeded");
        long suspects = mRunning.values().stream().filter(Work::suspect).count();
        check(suspects <= 1, "two suspects on one engine");
    }

    private void close(Work work) {
        check(mOpen.remove(work.attempt()) != null, "answered twice: " + work.attempt());
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            mViolations.add(violation);
        }
    }

    void settleLoads() {
        for (int i = 0; i < 10; i++) {
            mNow += STEP_NANOS;
            carryOut(mCoordinator.tick(mNow));
            orderEnds(true);
        }
    }

    /** Lets everything under way end well, as it would without further faults. */
    void settle() {
        for (int i = 0; i < 1_000; i++) {
            mNow += STEP_NANOS;
            orderEnds(true);
            finishOne(0);
            carryOut(mCoordinator.tick(mNow));
        }
    }

    AdapterRef runningAdapter() {
        return mRunning.values().iterator().next().adapter().orElseThrow();
    }

    List<String> violations() {
        return mViolations;
    }

    Set<String> unanswered() {
        return mOpen.keySet();
    }
}
