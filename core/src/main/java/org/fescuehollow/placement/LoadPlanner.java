package org.fescuehollow.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.settings.ServicePolicy;

/**
 * Decides which adapters one engine loads and which it gives up for them.
 *
 * <p>Invariants: an adapter that is pinned or waited for is never unloaded, nor one that the engine
 * itself reports in use; each load order has taken one permit, given back when the load ends; no
 * eviction before the quiet period is over. Not safe for concurrent use.
 */
final class LoadPlanner {
    private static final int LOAD_ATTEMPTS = 4;
    private static final long CONFIRM_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double NEW_SAMPLE_SHARE = 0.1;
    private static final double FIRST_GUESS_NANOS = 250e6;

    private final String mServer;
    private final SlotTable mSlots;
    private final LoadBudget mBudget;
    private final LoadFailures mFailures;
    private final Map<AdapterRef, AdapterRef> mReplacing = new HashMap<>();
    private final Map<AdapterRef, Long> mConfirming = new HashMap<>();
    private final Map<AdapterRef, Permit> mPermits = new HashMap<>();
    private final Map<AdapterRef, Long> mWantedSince = new HashMap<>();
    private double mLoadWaitNanos = FIRST_GUESS_NANOS;
    private long mFencing;
    private long mEvictFromNanos;

    LoadPlanner(String server, SlotTable slots, LoadBudget budget) {
        mServer = server;
        mSlots = slots;
        mBudget = budget;
        mFailures = new LoadFailures(Rendezvous.hash(server));
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
        Long since = mWantedSince.remove(adapter);
        if (ok) {
            if (since != null) {
                mLoadWaitNanos += NEW_SAMPLE_SHARE * (now - since - mLoadWaitNanos);
            }
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

    /** Mean time from wanting a load to its end, the wait for a permit included. */
    double loadWaitNanos() {
        return mLoadWaitNanos;
    }

    boolean isComing(AdapterRef adapter) {
        return mReplacing.containsValue(adapter);
    }

    private boolean takeFor(long now, AdapterRef adapter, List<Work> waiting) {
        Work first = waiting.get(0);
        double waited = waiting.stream().mapToDouble(w -> w.waitedMillis(now)).sum();
        Want want =
                new Want(
                        mServer + "/" + adapter,
                        first.priority(),
                        first.team(),
                        first.weight(),
                        waited);
        Optional<Permit> permit = mBudget.tryTake(now, want);
        permit.ifPresent(p -> mPermits.put(adapter, p));
        return permit.isPresent();
    }

    /** Begins the loads that waiting work deserves, the first in the queue first. */
    void plan(long now, List<Work> waiting, ServicePolicy policy, List<Order> orders) {
        Set<AdapterRef> waitedFor = adaptersOf(waiting);
        Map<AdapterRef, List<Work>> wanted = new LinkedHashMap<>();
        for (Work w : waiting) {
            AdapterRef adapter = w.adapter().orElseThrow();
            if (!mSlots.holds(adapter) && !isComing(adapter)) {
                mWantedSince.putIfAbsent(adapter, now);
                wanted.computeIfAbsent(adapter, a -> new ArrayList<>()).add(w);
            }
        }
        mWantedSince.keySet().retainAll(waitedFor);
        if (wanted.isEmpty()) {
            return;
        }
        Optional<AdapterRef> victim = pickVictim(now, waitedFor);
        for (Map.Entry<AdapterRef, List<Work>> e : wanted.entrySet()) {
            boolean hasRoom = mSlots.size() < policy.slots() || victim.isPresent();
            boolean begun =
                    hasRoom
                            && mayLoad(now, e.getKey(), e.getValue(), policy)
                            && takeFor(now, e.getKey(), e.getValue());
            if (begun) {
                begin(now, e.getKey(), victim, policy.slots(), orders);
                victim = pickVictim(now, waitedFor);
            }
        }
    }

    private boolean mayLoad(
            long now, AdapterRef adapter, List<Work> waiting, ServicePolicy policy) {
        long oldest = waiting.stream().mapToLong(w -> w.waitedMillis(now)).max().orElse(0);
        return mFailures.mayTry(adapter, now)
                && policy.weighting().mayLoad(waiting.get(0).priority(), waiting.size(), oldest);
    }

    private void begin(
            long now,
            AdapterRef adapter,
            Optional<AdapterRef> victim,
            int slots,
            List<Order> orders) {
        if (mSlots.size() < slots) {
            load(now, adapter, orders);
            return;
        }
        mSlots.find(victim.orElseThrow()).orElseThrow().become(Slot.State.CONFIRMING, now);
        mReplacing.put(victim.get(), adapter);
        mConfirming.put(victim.get(), now);
        orders.add(new Order.Inspect());
    }

    /**
     * Takes a report asked for at a time: evictions decided before it go ahead if the engine shows
     * no use of the adapter, and are called off otherwise.
     */
    void confirm(
            long asked, long now, EngineReport report, List<Work> waiting, List<Order> orders) {
        Set<AdapterRef> waitedFor = adaptersOf(waiting);
        for (Map.Entry<AdapterRef, Long> e : List.copyOf(mConfirming.entrySet())) {
            AdapterRef victim = e.getKey();
            if (asked < e.getValue()) {
                continue;
            }
            boolean idle = report.running().getOrDefault(victim, 0) == 0;
            if (idle && !waitedFor.contains(victim) && now >= mEvictFromNanos) {
                mConfirming.remove(victim);
                mSlots.find(victim).ifPresent(s -> s.become(Slot.State.UNLOADING, now));
                orders.add(new Order.Unload(victim, mFencing));
            } else {
                callOff(now, victim);
            }
        }
    }

    private void callOff(long now, AdapterRef victim) {
        mConfirming.remove(victim);
        mSlots.find(victim)
                .filter(s -> s.state() == Slot.State.CONFIRMING)
                .ifPresent(s -> s.become(Slot.State.RESIDENT, now));
        AdapterRef next = mReplacing.remove(victim);
        if (next != null) {
            releaseFor(now, next);
        }
    }

    /** Calls off evictions that the engine doesn't confirm, or all if the reign ends. */
    void callOffUnconfirmed(long now, boolean all) {
        List.copyOf(mConfirming.entrySet()).stream()
                .filter(e -> all || now - e.getValue() >= CONFIRM_NANOS)
                .forEach(e -> callOff(now, e.getKey()));
    }

    /** What taking a request would cost; counts that its adapter was asked for in vain. */
    Quote quote(long now, boolean crowded, Work work, List<Work> waiting, ServicePolicy policy) {
        if (work.adapter().isEmpty()) {
            return new Quote(crowded, 0, 0);
        }
        Set<AdapterRef> waitedFor = adaptersOf(waiting);
        int loadsBefore = mWantedSince.size();
        double price = mSlots.priceOfRoom(policy.slots(), loadsBefore, waitedFor::contains, now);
        return new Quote(crowded, price, mSlots.askedInVain(work.adapter().get(), work, now));
    }

    private static Set<AdapterRef> adaptersOf(List<Work> waiting) {
        return waiting.stream()
                .flatMap(w -> w.adapter().stream())
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Optional<AdapterRef> pickVictim(long now, Set<AdapterRef> waitedFor) {
        return now < mEvictFromNanos
                ? Optional.empty()
                : mSlots.pickVictim(waitedFor::contains, now);
    }

    private void load(long now, AdapterRef adapter, List<Order> orders) {
        mSlots.add(adapter, Slot.State.LOADING, now);
        orders.add(new Order.Load(adapter, mFencing));
    }
}
