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
 * <p>Invariants: an adapter that a request uses is never chosen for eviction; the table exceeds the
 * engine's number of slots only if the engine itself reports more adapters. Not safe for concurrent
 * use.
 */
final class SlotTable {
    private final SortedMap<AdapterRef, Slot> mSlots = new TreeMap<>();
    private final UsageHistory mUsage = new UsageHistory();
    private final TeamShares mTeamShares = new TeamShares();
    private final EvictionPolicy mEvictionPolicy;

    SlotTable(EvictionPolicy evictionPolicy) {
        mEvictionPolicy = evictionPolicy;
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

    void pin(AdapterRef adapter, AttemptSpec attempt, long now) {
        mSlots.get(adapter).pin(attempt.id());
        mUsage.recordUse(adapter, attempt.usesElsewhere(), recordTeamUse(attempt, now), now);
    }

    /**
     * Records a use by an attempt's team and returns the weight of the use, which is reduced for a
     * team over its share so that more requests don't win it more slots.
     */
    private double recordTeamUse(AttemptSpec attempt, long now) {
        mTeamShares.recordUse(now, attempt.team(), attempt.weight());
        return mTeamShares.useWeight(attempt.team());
    }

    /**
     * Records that an attempt asked for an adapter without using it here, and returns the adapter's
     * use count.
     */
    double recordMiss(AdapterRef adapter, AttemptSpec attempt, long now) {
        mUsage.recordUse(adapter, 0, recordTeamUse(attempt, now), now);
        return mUsage.usageOf(adapter).count();
    }

    void unpin(AdapterRef adapter, String attemptId) {
        find(adapter).ifPresent(s -> s.unpin(attemptId));
    }

    /**
     * Removes an adapter that the engine no longer holds, unless the adapter is being loaded or
     * evicted.
     */
    void removeIfResident(AdapterRef adapter) {
        find(adapter)
                .filter(s -> s.state() == Slot.State.RESIDENT)
                .ifPresent(s -> mSlots.remove(adapter));
    }

    void clear() {
        mSlots.clear();
    }

    Optional<AdapterRef> pickVictim(Predicate<AdapterRef> isNeeded, long now) {
        return mEvictionPolicy.pickVictim(evictable(isNeeded), now);
    }

    private Map<AdapterRef, AdapterUsage> evictable(Predicate<AdapterRef> isNeeded) {
        Map<AdapterRef, AdapterUsage> evictable = new HashMap<>();
        mSlots.forEach(
                (adapter, slot) -> {
                    boolean idle = slot.state() == Slot.State.RESIDENT && !slot.isPinned();
                    if (idle && !isNeeded.test(adapter)) {
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
     * Returns the decayed use count of the adapter that a further load would evict after the given
     * number of earlier loads: zero if a slot is free, infinite if no adapter can be evicted.
     */
    double evictionCost(int limit, int loadsBefore, Predicate<AdapterRef> isNeeded, long now) {
        int free = limit - size() - loadsBefore;
        if (free > 0) {
            return 0;
        }
        return evictable(isNeeded).values().stream()
                .map(u -> u.decayedCount(now))
                .sorted()
                .skip(-free)
                .findFirst()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Adds the adapters that the engine reports and removes those that it doesn't report. A slot
     * that changed after {@code settledSince} isn't removed, since the report may be older than the
     * change.
     */
    void reconcile(EngineReport report, long settledSince, long now) {
        report.runningByAdapter()
                .forEach((adapter, running) -> adoptReported(adapter, running, now));
        List<AdapterRef> missing =
                mSlots.entrySet().stream()
                        .filter(e -> !report.runningByAdapter().containsKey(e.getKey()))
                        .filter(e -> e.getValue().isResidentSince(settledSince))
                        .filter(e -> e.getValue().pinCount() == 0)
                        .map(Map.Entry::getKey)
                        .toList();
        missing.forEach(mSlots::remove);
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
