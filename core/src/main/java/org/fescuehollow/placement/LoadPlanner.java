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
    private static final int MAX_LOAD_ATTEMPTS = 4;
    private static final long CONFIRM_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double EWMA_WEIGHT = 0.1;
    private static final double INITIAL_LOAD_WAIT_NANOS = 250e6;

    private final String mServer;
    private final SlotTable mSlots;
    private final LoadBudget mBudget;
    private final LoadBackoff mBackoff;
    private final Map<AdapterRef, AdapterRef> mReplacementByVictim = new HashMap<>();
    private final Map<AdapterRef, Long> mConfirmingSinceNanos = new HashMap<>();
    private final Map<AdapterRef, Permit> mPermits = new HashMap<>();
    private final Map<AdapterRef, Long> mWantedSinceNanos = new HashMap<>();
    private double mMeanLoadWaitNanos = INITIAL_LOAD_WAIT_NANOS;
    private long mFencingNumber;
    private long mEvictionAllowedFromNanos;

    LoadPlanner(String server, SlotTable slots, LoadBudget budget) {
        mServer = server;
        mSlots = slots;
        mBudget = budget;
        mBackoff = new LoadBackoff(Rendezvous.hash(server));
    }

    void setFencingNumber(long fencing) {
        mFencingNumber = fencing;
    }

    long fencingNumber() {
        return mFencingNumber;
    }

    void allowEvictionFrom(long nanos) {
        mEvictionAllowedFromNanos = nanos;
    }

    /** Takes a load's result; returns the number of failures in a row if it is given up. */
    OptionalInt onLoaded(long now, AdapterRef adapter, boolean ok) {
        releasePermit(now, adapter);
        Long since = mWantedSinceNanos.remove(adapter);
        if (ok) {
            if (since != null) {
                mMeanLoadWaitNanos += EWMA_WEIGHT * (now - since - mMeanLoadWaitNanos);
            }
            mSlots.find(adapter).ifPresent(s -> s.setState(Slot.State.RESIDENT, now));
            mBackoff.recordSuccess(adapter);
            return OptionalInt.empty();
        }
        mSlots.remove(adapter);
        mBackoff.recordFailure(adapter, now);
        int failures = mBackoff.failureCount(adapter);
        return failures < MAX_LOAD_ATTEMPTS ? OptionalInt.empty() : OptionalInt.of(failures);
    }

    void onUnloaded(long now, AdapterRef adapter, boolean ok, boolean retired, List<Order> orders) {
        AdapterRef next = mReplacementByVictim.remove(adapter);
        if (!ok) {
            mSlots.find(adapter).ifPresent(s -> s.setState(Slot.State.RESIDENT, now));
            releasePermit(now, next);
            return;
        }
        mSlots.remove(adapter);
        if (next == null || retired || mSlots.holds(next)) {
            releasePermit(now, next);
        } else {
            orderLoad(now, next, orders);
        }
    }

    private void releasePermit(long now, AdapterRef adapter) {
        Permit permit = mPermits.remove(adapter);
        if (permit != null) {
            mBudget.release(now, permit);
        }
    }

    /** Mean time from wanting a load to its end, the wait for a permit included. */
    double meanLoadWaitNanos() {
        return mMeanLoadWaitNanos;
    }

    boolean isReplacementPending(AdapterRef adapter) {
        return mReplacementByVictim.containsValue(adapter);
    }

    private boolean tryAcquirePermit(long now, AdapterRef adapter, List<AttemptSpec> waiting) {
        AttemptSpec first = waiting.get(0);
        double waited = waiting.stream().mapToDouble(w -> w.waitedMillis(now)).sum();
        PermitRequest want =
                new PermitRequest(
                        mServer + "/" + adapter,
                        first.priority(),
                        first.team(),
                        first.weight(),
                        waited);
        Optional<Permit> permit = mBudget.tryAcquire(now, want);
        permit.ifPresent(p -> mPermits.put(adapter, p));
        return permit.isPresent();
    }

    /** Begins the loads that waiting work deserves, the first in the queue first. */
    void planLoads(long now, List<AttemptSpec> waiting, ServicePolicy policy, List<Order> orders) {
        Set<AdapterRef> waitedFor = adaptersNeededBy(waiting);
        Map<AdapterRef, List<AttemptSpec>> wanted = new LinkedHashMap<>();
        for (AttemptSpec w : waiting) {
            AdapterRef adapter = w.adapter().orElseThrow();
            if (!mSlots.holds(adapter) && !isReplacementPending(adapter)) {
                mWantedSinceNanos.putIfAbsent(adapter, now);
                wanted.computeIfAbsent(adapter, a -> new ArrayList<>()).add(w);
            }
        }
        mWantedSinceNanos.keySet().retainAll(waitedFor);
        if (wanted.isEmpty()) {
            return;
        }
        Optional<AdapterRef> victim = pickVictim(now, waitedFor);
        for (Map.Entry<AdapterRef, List<AttemptSpec>> e : wanted.entrySet()) {
            boolean hasRoom = mSlots.size() < policy.slots() || victim.isPresent();
            boolean begun =
                    hasRoom
                            && mayLoad(now, e.getKey(), e.getValue(), policy)
                            && tryAcquirePermit(now, e.getKey(), e.getValue());
            if (begun) {
                beginLoad(now, e.getKey(), victim, policy.slots(), orders);
                victim = pickVictim(now, waitedFor);
            }
        }
    }

    private boolean mayLoad(
            long now, AdapterRef adapter, List<AttemptSpec> waiting, ServicePolicy policy) {
        long oldest = waiting.stream().mapToLong(w -> w.waitedMillis(now)).max().orElse(0);
        return mBackoff.mayLoad(adapter, now)
                && policy.weighting().mayLoad(waiting.get(0).priority(), waiting.size(), oldest);
    }

    private void beginLoad(
            long now,
            AdapterRef adapter,
            Optional<AdapterRef> victim,
            int slots,
            List<Order> orders) {
        if (mSlots.size() < slots) {
            orderLoad(now, adapter, orders);
            return;
        }
        mSlots.find(victim.orElseThrow()).orElseThrow().setState(Slot.State.CONFIRMING, now);
        mReplacementByVictim.put(victim.get(), adapter);
        mConfirmingSinceNanos.put(victim.get(), now);
        orders.add(new Order.RequestReport());
    }

    /**
     * Takes a report asked for at a time: evictions decided before it go ahead if the engine shows
     * no use of the adapter, and are called off otherwise.
     */
    void confirmEvictions(
            long asked,
            long now,
            EngineReport report,
            List<AttemptSpec> waiting,
            List<Order> orders) {
        Set<AdapterRef> waitedFor = adaptersNeededBy(waiting);
        for (Map.Entry<AdapterRef, Long> e : List.copyOf(mConfirmingSinceNanos.entrySet())) {
            AdapterRef victim = e.getKey();
            if (asked < e.getValue()) {
                continue;
            }
            boolean idle = report.runningByAdapter().getOrDefault(victim, 0) == 0;
            if (idle && !waitedFor.contains(victim) && now >= mEvictionAllowedFromNanos) {
                mConfirmingSinceNanos.remove(victim);
                mSlots.find(victim).ifPresent(s -> s.setState(Slot.State.UNLOADING, now));
                orders.add(new Order.Unload(victim, mFencingNumber));
            } else {
                cancelEviction(now, victim);
            }
        }
    }

    private void cancelEviction(long now, AdapterRef victim) {
        mConfirmingSinceNanos.remove(victim);
        mSlots.find(victim)
                .filter(s -> s.state() == Slot.State.CONFIRMING)
                .ifPresent(s -> s.setState(Slot.State.RESIDENT, now));
        AdapterRef next = mReplacementByVictim.remove(victim);
        if (next != null) {
            releasePermit(now, next);
        }
    }

    /** Calls off evictions that the engine doesn't confirm, or all if the reign ends. */
    void cancelUnconfirmedEvictions(long now, boolean all) {
        List.copyOf(mConfirmingSinceNanos.entrySet()).stream()
                .filter(e -> all || now - e.getValue() >= CONFIRM_TIMEOUT_NANOS)
                .forEach(e -> cancelEviction(now, e.getKey()));
    }

    /** What taking a request would cost; counts that its adapter was asked for in vain. */
    Quote quote(
            long now,
            boolean crowded,
            AttemptSpec work,
            List<AttemptSpec> waiting,
            ServicePolicy policy) {
        if (work.adapter().isEmpty()) {
            return new Quote(crowded, 0, 0);
        }
        Set<AdapterRef> waitedFor = adaptersNeededBy(waiting);
        int loadsBefore = mWantedSinceNanos.size();
        double price = mSlots.evictionCost(policy.slots(), loadsBefore, waitedFor::contains, now);
        return new Quote(crowded, price, mSlots.recordMiss(work.adapter().get(), work, now));
    }

    private static Set<AdapterRef> adaptersNeededBy(List<AttemptSpec> waiting) {
        return waiting.stream()
                .flatMap(w -> w.adapter().stream())
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Optional<AdapterRef> pickVictim(long now, Set<AdapterRef> waitedFor) {
        return now < mEvictionAllowedFromNanos
                ? Optional.empty()
                : mSlots.pickVictim(waitedFor::contains, now);
    }

    private void orderLoad(long now, AdapterRef adapter, List<Order> orders) {
        mSlots.add(adapter, Slot.State.LOADING, now);
        orders.add(new Order.Load(adapter, mFencingNumber));
    }
}
