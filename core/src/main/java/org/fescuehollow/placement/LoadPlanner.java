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
 * Decides which adapters one engine loads and which it evicts for them.
 *
 * <p>Invariants: an adapter that is pinned, that a waiting attempt needs or that the engine reports
 * in use is never unloaded; each load order holds one permit, which is released when the load ends;
 * no adapter is evicted before the eviction delay is over. Not safe for concurrent use.
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

    void setFencingNumber(long fencingNumber) {
        mFencingNumber = fencingNumber;
    }

    long fencingNumber() {
        return mFencingNumber;
    }

    void allowEvictionFrom(long nanos) {
        mEvictionAllowedFromNanos = nanos;
    }

    /**
     * Handles the result of a load and returns the number of consecutive failures if it reaches the
     * limit, at which the waiting attempts are refused.
     */
    OptionalInt onLoaded(long now, AdapterRef adapter, boolean ok) {
        releasePermit(now, adapter);
        Long waitingSince = mWantedSinceNanos.remove(adapter);
        if (ok) {
            if (waitingSince != null) {
                mMeanLoadWaitNanos += EWMA_WEIGHT * (now - waitingSince - mMeanLoadWaitNanos);
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

    void onUnloaded(
            long now, AdapterRef adapter, boolean ok, boolean termOver, List<Order> orders) {
        AdapterRef next = mReplacementByVictim.remove(adapter);
        if (!ok) {
            mSlots.find(adapter).ifPresent(s -> s.setState(Slot.State.RESIDENT, now));
            releasePermit(now, next);
            return;
        }
        mSlots.remove(adapter);
        if (next == null || termOver || mSlots.holds(next)) {
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

    /**
     * Returns the mean time from the first request for an adapter to the end of its load, including
     * the wait for a permit.
     */
    double meanLoadWaitNanos() {
        return mMeanLoadWaitNanos;
    }

    boolean isReplacementPending(AdapterRef adapter) {
        return mReplacementByVictim.containsValue(adapter);
    }

    private boolean tryAcquirePermit(long now, AdapterRef adapter, List<AttemptSpec> waiting) {
        AttemptSpec first = waiting.get(0);
        double waited = waiting.stream().mapToDouble(attempt -> attempt.waitedMillis(now)).sum();
        PermitRequest request =
                new PermitRequest(
                        mServer + "/" + adapter,
                        first.priority(),
                        first.team(),
                        first.weight(),
                        waited);
        Optional<Permit> permit = mBudget.tryAcquire(now, request);
        permit.ifPresent(p -> mPermits.put(adapter, p));
        return permit.isPresent();
    }

    /** Begins the loads that waiting attempts need, in queue order. */
    void planLoads(long now, List<AttemptSpec> waiting, ServicePolicy policy, List<Order> orders) {
        Set<AdapterRef> needed = adaptersNeededBy(waiting);
        Map<AdapterRef, List<AttemptSpec>> wanted = new LinkedHashMap<>();
        for (AttemptSpec attempt : waiting) {
            AdapterRef adapter = attempt.adapter().orElseThrow();
            if (!mSlots.holds(adapter) && !isReplacementPending(adapter)) {
                mWantedSinceNanos.putIfAbsent(adapter, now);
                wanted.computeIfAbsent(adapter, a -> new ArrayList<>()).add(attempt);
            }
        }
        mWantedSinceNanos.keySet().retainAll(needed);
        if (wanted.isEmpty()) {
            return;
        }
        Optional<AdapterRef> victim = pickVictim(now, needed);
        for (Map.Entry<AdapterRef, List<AttemptSpec>> e : wanted.entrySet()) {
            boolean hasRoom = mSlots.size() < policy.slots() || victim.isPresent();
            boolean granted =
                    hasRoom
                            && mayLoad(now, e.getKey(), e.getValue(), policy)
                            && tryAcquirePermit(now, e.getKey(), e.getValue());
            if (granted) {
                beginLoad(now, e.getKey(), victim, policy.slots(), orders);
                victim = pickVictim(now, needed);
            }
        }
    }

    private boolean mayLoad(
            long now, AdapterRef adapter, List<AttemptSpec> waiting, ServicePolicy policy) {
        long oldest =
                waiting.stream().mapToLong(attempt -> attempt.waitedMillis(now)).max().orElse(0);
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
     * Goes through the evictions that were decided before the report was requested: an adapter that
     * the report shows unused is unloaded, any other eviction is cancelled.
     */
    void confirmEvictions(
            long requestedAt,
            long now,
            EngineReport report,
            List<AttemptSpec> waiting,
            List<Order> orders) {
        Set<AdapterRef> needed = adaptersNeededBy(waiting);
        for (Map.Entry<AdapterRef, Long> e : List.copyOf(mConfirmingSinceNanos.entrySet())) {
            AdapterRef victim = e.getKey();
            if (requestedAt < e.getValue()) {
                continue;
            }
            boolean idle = report.runningByAdapter().getOrDefault(victim, 0) == 0;
            if (idle && !needed.contains(victim) && now >= mEvictionAllowedFromNanos) {
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

    /**
     * Cancels evictions that the engine hasn't confirmed in time, or every unconfirmed one if the
     * term ends or begins anew.
     */
    void cancelUnconfirmedEvictions(long now, boolean all) {
        List.copyOf(mConfirmingSinceNanos.entrySet()).stream()
                .filter(e -> all || now - e.getValue() >= CONFIRM_TIMEOUT_NANOS)
                .forEach(e -> cancelEviction(now, e.getKey()));
    }

    /** Returns the cost of accepting an attempt and records that it asked for its adapter. */
    Quote quote(
            long now,
            boolean crowded,
            AttemptSpec attempt,
            List<AttemptSpec> waiting,
            ServicePolicy policy) {
        if (attempt.adapter().isEmpty()) {
            return new Quote(crowded, 0, 0);
        }
        Set<AdapterRef> needed = adaptersNeededBy(waiting);
        int loadsBefore = mWantedSinceNanos.size();
        double cost = mSlots.evictionCost(policy.slots(), loadsBefore, needed::contains, now);
        return new Quote(crowded, cost, mSlots.recordMiss(attempt.adapter().get(), attempt, now));
    }

    private static Set<AdapterRef> adaptersNeededBy(List<AttemptSpec> waiting) {
        return waiting.stream()
                .flatMap(attempt -> attempt.adapter().stream())
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Optional<AdapterRef> pickVictim(long now, Set<AdapterRef> needed) {
        return now < mEvictionAllowedFromNanos
                ? Optional.empty()
                : mSlots.pickVictim(needed::contains, now);
    }

    private void orderLoad(long now, AdapterRef adapter, List<Order> orders) {
        mSlots.add(adapter, Slot.State.LOADING, now);
        orders.add(new Order.Load(adapter, mFencingNumber));
    }
}
