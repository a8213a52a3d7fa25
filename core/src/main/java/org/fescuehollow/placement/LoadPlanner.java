package org.fescuehollow.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.settings.ServicePolicy;

/**
 * Decides which adapters one engine loads and which it gives up for them.
 *
 * <p>Invariants: an adapter that is pinned or waited for is never unloaded; each load order has
 * taken one permit, given back when the load ends; no eviction before the quiet period is over. Not
 * safe for concurrent use.
 */
final class LoadPlanner {
    private static final int LOAD_ATTEMPTS = 4;

    private final SlotTable mSlots;
    private final LoadBudget mBudget;
    private final LoadFailures mFailures;
    private final Map<AdapterRef, AdapterRef> mReplacing = new HashMap<>();
    private final Map<AdapterRef, Permit> mPermits = new HashMap<>();
    private long mFencing;
    private long mEvictFromNanos;

    LoadPlanner(SlotTable slots, LoadBudget budget, long jitterSeed) {
        mSlots = slots;
        mBudget = budget;
        mFailures = new LoadFailures(jitterSeed);
    }

    void setFencing(long fencing) {
        mFencing = fencing;
    }

    long fencing() {
        return mFencing;
    }

    void evictFrom(long nanos) {
        mEvictFromNanos = nanos;
    }

    /** Takes a load's result; returns the number of failures in a row if it is given up. */
    OptionalInt loaded(long now, AdapterRef adapter, boolean ok) {
        releaseFor(now, adapter);
        if (ok) {
            mSlots.find(adapter).ifPresent(s -> s.become(Slot.State.RESIDENT, now));
            mFailures.succeeded(adapter);
            return OptionalInt.empty();
        }
        mSlots.remove(adapter);
        mFailures.failed(adapter, now);
        int failures = mFailures.countOf(adapter);
        return failures < LOAD_ATTEMPTS ? OptionalInt.empty() : OptionalInt.of(failures);
    }

    void unloaded(long now, AdapterRef adapter, boolean ok, boolean retired, List<Order> orders) {
        AdapterRef next = mReplacing.remove(adapter);
        if (!ok) {
            mSlots.find(adapter).ifPresent(s -> s.become(Slot.State.RESIDENT, now));
            releaseFor(now, next);
            return;
        }
        mSlots.remove(adapter);
        if (next == null || retired || mSlots.holds(next)) {
            releaseFor(now, next);
        } else {
            load(now, next, orders);
        }
    }

    private void releaseFor(long now, AdapterRef adapter) {
        Permit permit = mPermits.remove(adapter);
        if (permit != null) {
            mBudget.release(now, permit);
        }
    }

    private boolean takeFor(long now, AdapterRef adapter) {
        Optional<Permit> permit = mBudget.tryTake(now);
        permit.ifPresent(p -> mPermits.put(adapter, p));
        return permit.isPresent();
    }

    /** Begins the loads that waiting work deserves, the first in the queue first. */
    void plan(long now, List<Work> waiting, ServicePolicy policy, List<Order> orders) {
        Set<AdapterRef> waitedFor = new HashSet<>();
        Map<AdapterRef, List<Work>> wanted = new LinkedHashMap<>();
        for (Work w : waiting) {
            AdapterRef adapter = w.adapter().orElseThrow();
            waitedFor.add(adapter);
            if (!mSlots.holds(adapter) && !mReplacing.containsValue(adapter)) {
                wanted.computeIfAbsent(adapter, a -> new ArrayList<>()).add(w);
            }
        }
        for (Map.Entry<AdapterRef, List<Work>> e : wanted.entrySet()) {
            boolean deserved = mayLoad(now, e.getKey(), e.getValue(), policy);
            if (deserved && !begin(now, e.getKey(), waitedFor, policy.slots(), orders)) {
                return;
            }
        }
    }

    private boolean mayLoad(
            long now, AdapterRef adapter, List<Work> waiting, ServicePolicy policy) {
        long oldest = waiting.stream().mapToLong(w -> w.waitedMillis(now)).max().orElse(0);
        return mFailures.mayTry(adapter, now)
                && policy.weighting().mayLoad(waiting.get(0).priority(), waiting.size(), oldest);
    }

    /** Returns false if no further load can begin now. */
    private boolean begin(
            long now,
            AdapterRef adapter,
            Set<AdapterRef> waitedFor,
            int slots,
            List<Order> orders) {
        if (mSlots.size() < slots) {
            if (!takeFor(now, adapter)) {
                return false;
            }
            load(now, adapter, orders);
            return true;
        }
        Optional<AdapterRef> victim =
                now < mEvictFromNanos
                        ? Optional.empty()
                        : mSlots.pickVictim(waitedFor::contains, now);
        if (victim.isEmpty() || !takeFor(now, adapter)) {
            return false;
        }
        mSlots.find(victim.get()).orElseThrow().become(Slot.State.UNLOADING, now);
        mReplacing.put(victim.get(), adapter);
        orders.add(new Order.Unload(victim.get(), mFencing));
        return true;
    }

    private void load(long now, AdapterRef adapter, List<Order> orders) {
        mSlots.add(adapter, Slot.State.LOADING, now);
        orders.add(new Order.Load(adapter, mFencing));
    }
}
