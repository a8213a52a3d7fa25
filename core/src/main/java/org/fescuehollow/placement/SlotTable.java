package org.fescuehollow.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fescuehollow.model.AdapterRef;

/**
 * The adapter slots of one engine.
 *
 * <p>Invariants: never more slots in use than the engine has, unless the engine itself reports
 * more; an adapter that a request uses is never chosen for eviction. Not safe for concurrent use.
 */
final class SlotTable {
    private final SortedMap<AdapterRef, Slot> mSlots = new TreeMap<>();
    private final UsageHistory mUsage = new UsageHistory();
    private final TeamShares mTeamShares = new TeamShares();
    private final EvictionPolicy mEvictionPolicy;

    SlotTable(EvictionPolicy eviction) {
        mEvictionPolicy = eviction;
    }

    boolean isResident(AdapterRef adapter) {
        Slot s = mSlots.get(adapter);
        return s != null && s.state() == Slot.State.RESIDENT;
    }

    boolean holds(AdapterRef adapter) {
        return mSlots.containsKey(adapter);
    }

    int size() {
        return mSlots.size();
    }

    void add(AdapterRef adapter, Slot.State state, long now) {
        mSlots.put(adapter, new Slot(state, now));
    }

    void remove(AdapterRef adapter) {
        mSlots.remove(adapter);
    }

    Optional<Slot> find(AdapterRef adapter) {
        return Optional.ofNullable(mSlots.get(adapter));
    }

    void pin(AdapterRef adapter, AttemptSpec work, long now) {
        mSlots.get(adapter).pin(work.id());
        mUsage.recordUse(adapter, work.usesElsewhere(), recordTeamUse(work, now), now);
    }

    /** A team that sends more than its share doesn't gain slots by it. */
    private double recordTeamUse(AttemptSpec work, long now) {
        mTeamShares.recordUse(now, work.team(), work.weight());
        return mTeamShares.useWeight(work.team());
    }

    /** Counts that an adapter was asked for that isn't here; returns the count. */
    double recordMiss(AdapterRef adapter, AttemptSpec work, long now) {
        mUsage.recordUse(adapter, 0, recordTeamUse(work, now), now);
        return mUsage.usageOf(adapter).count();
    }

    void unpin(AdapterRef adapter, String attempt) {
        find(adapter).ifPresent(s -> s.unpin(attempt));
    }

    /** Takes that the engine has lost an adapter. */
    void removeIfResident(AdapterRef adapter) {
        find(adapter)
                .filter(s -> s.state() == Slot.State.RESIDENT)
                .ifPresent(s -> mSlots.remove(adapter));
    }

    void clear() {
        mSlots.clear();
    }

    Optional<AdapterRef> pickVictim(Predicate<AdapterRef> isWanted, long now) {
        return mEvictionPolicy.pickVictim(evictable(isWanted), now);
    }

    private Map<AdapterRef, AdapterUsage> evictable(Predicate<AdapterRef> isWanted) {
        Map<AdapterRef, AdapterUsage> evictable = new HashMap<>();
        mSlots.forEach(
                (adapter, slot) -> {
                    boolean idle = slot.state() == Slot.State.RESIDENT && !slot.isPinned();
                    if (idle && !isWanted.test(adapter)) {
                        evictable.put(adapter, mUsage.usageOf(adapter));
                    }
                });
        return evictable;
    }

    boolean hasForeignRequests() {
        return mSlots.values().stream().anyMatch(s -> s.foreignRequests() > 0);
    }

    Optional<AdapterRef> anyResident() {
        return mSlots.keySet().stream().filter(this::isResident).findFirst();
    }

    /**
     * The worth of the adapter that would go once the loads before it have taken their room; zero
     * for a free slot, infinite if none can go.
     */
    double evictionCost(int limit, int loadsBefore, Predicate<AdapterRef> isWanted, long now) {
        int free = limit - size() - loadsBefore;
        if (free > 0) {
            return 0;
        }
        return evictable(isWanted).values().stream()
                .map(u -> u.decayedCount(now))
                .sorted()
                .skip(-free)
                .findFirst()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Takes over what the engine reports; slots changed since the bound are left as they are. */
    void reconcile(EngineReport report, long settledSince, long now) {
        report.runningByAdapter()
                .forEach((adapter, running) -> adoptReported(adapter, running, now));
        List<AdapterRef> gone =
                mSlots.entrySet().stream()
                        .filter(e -> !report.runningByAdapter().containsKey(e.getKey()))
                        .filter(e -> e.getValue().isResidentSince(settledSince))
                        .filter(e -> e.getValue().pinCount() == 0)
                        .map(Map.Entry::getKey)
                        .toList();
        gone.forEach(mSlots::remove);
    }

    private void adoptReported(AdapterRef adapter, int running, long now) {
        Slot slot = mSlots.computeIfAbsent(adapter, a -> new Slot(Slot.State.RESIDENT, now));
        slot.onReportedRunning(running);
    }

    SortedMap<String, String> dump() {
        SortedMap<String, String> out = new TreeMap<>();
        mSlots.forEach(
                (a, s) ->
                        out.put(
                                a.toString(),
                                s.state()
                                        + " pins="
                                        + s.pinCount()
                                        + " foreign="
                                        + s.foreignRequests()));
        return out;
    }
}
