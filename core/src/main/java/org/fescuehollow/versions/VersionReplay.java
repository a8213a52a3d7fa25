package org.fescuehollow.versions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.Engine;

/**
 * Reconstructs the shares that preceded the current entries from the changes that the store still
 * keeps, for a process that has just started.
 *
 * <p>An entry that was created after the first of these changes joins with its first write; the
 * others were there from the start, as their first write says. One that was draining by then, was
 * removed and didn't return, or has started since may have been ready before, or at any version, so
 * the result begins only after that change. Its age follows from the heartbeats since, of which
 * each engine writes one per interval. The store may drop and regain entries meanwhile.
 *
 * <p>Not safe for concurrent use.
 */
public final class VersionReplay {
    /** Of the engines that were there throughout, at most a quarter wrote out of turn. */
    private static final double BEATS_QUANTILE = 0.75;

    private final List<Event> mEvents;
    private final Duration mHeartbeat;
    private final long mBornBeforeMillis;
    private final Map<Incarnation, List<Integer>> mWrites = new HashMap<>();
    private final Map<String, List<Integer>> mRemovals = new HashMap<>();
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Map<ServiceModel, List<AgedShares>> mShares = new HashMap<>();

    /** An engine between two starts. */
    private record Incarnation(String id, long startedMillis) {
        static Incarnation of(Engine engine) {
            return new Incarnation(engine.id(), engine.startedMillis());
        }
    }

    /**
     * An entry as it is now.
     *
     * @param id the engine's id
     * @param created the revision of its creation
     * @param engine the engine; empty if the entry names none
     */
    public record Entry(String id, long created, Optional<Engine> engine) {}

    /**
     * A change of an entry.
     *
     * @param id the engine's id
     * @param created the revision of the entry's creation; ignored for a removal
     * @param engine the engine as it was written; empty for a removal, or if the entry names none
     * @param removed whether the entry was removed
     */
    public record Event(String id, long created, Optional<Engine> engine, boolean removed) {}

    /**
     * The reconstructed shares.
     *
     * @param covered how long before the last change the shares are known, at least
     * @param shares the successive shares of each service and base model in that time
     */
    public record Result(Duration covered, Map<ServiceModel, List<AgedShares>> shares) {}

    private VersionReplay(List<Event> events, Duration heartbeat, long bornBeforeMillis) {
        mEvents = events;
        mHeartbeat = heartbeat;
        mBornBeforeMillis = bornBeforeMillis;
        for (int i = 0; i < events.size(); i++) {
            Event e = events.get(i);
            int index = i;
            if (e.removed()) {
                add(mRemovals, e.id(), index);
            }
            e.engine().ifPresent(engine -> add(mWrites, Incarnation.of(engine), index));
        }
    }

    private static <K> void add(Map<K, List<Integer>> lists, K key, int index) {
        lists.computeIfAbsent(key, k -> new ArrayList<>()).add(index);
    }

    /**
     * Replays the changes.
     *
     * @param entries the entries as they are now
     * @param events all changes after a revision, in order
     * @param afterRevision that revision
     * @param heartbeat the time between two writes of an engine that doesn't change
     * @return the shares
     */
    public static Result replay(
            Collection<Entry> entries, List<Event> events, long afterRevision, Duration heartbeat) {
        return replay(entries, events, afterRevision, heartbeat, Long.MAX_VALUE);
    }

    /**
     * Replays the changes, some of which may be of engines that started between two of them.
     *
     * @param entries the entries as they are now
     * @param events all changes after a revision, in order
     * @param afterRevision that revision
     * @param heartbeat the time between two writes of an engine that doesn't change
     * @param bornBeforeMillis a Unix time before the first change, by the clock of any engine
     * @return the shares
     */
    public static Result replay(
            Collection<Entry> entries,
            List<Event> events,
            long afterRevision,
            Duration heartbeat,
            long bornBeforeMillis) {
        return new VersionReplay(events, heartbeat, bornBeforeMillis).run(entries, afterRevision);
    }

    private Result run(Collection<Entry> entries, long afterRevision) {
        Map<String, Event> firsts = new LinkedHashMap<>();
        Map<String, Engine> firstEngines = new HashMap<>();
        for (Event e : mEvents) {
            firsts.putIfAbsent(e.id(), e);
            e.engine().ifPresent(engine -> firstEngines.putIfAbsent(e.id(), engine));
        }
        Set<String> unknown = new HashSet<>();
        for (Event first : firsts.values()) {
            if (first.removed() || first.created() <= afterRevision) {
                Optional.ofNullable(firstEngines.get(first.id()))
                        .filter(e -> first.removed() || first.engine().isPresent())
                        .filter(this::servedBefore)
                        .ifPresentOrElse(
                                e -> mEngines.put(e.id(), e), () -> unknown.add(first.id()));
            }
        }
        entries.stream()
                .filter(e -> !firsts.containsKey(e.id()) && e.created() <= afterRevision)
                .forEach(e -> e.engine().ifPresent(engine -> mEngines.put(e.id(), engine)));
        int next = 0;
        while (!unknown.isEmpty()) {
            apply(mEvents.get(next));
            unknown.remove(mEvents.get(next).id());
            next++;
        }
        int start = next;
        keysOf(mEngines.values()).forEach(k -> addShares(k, start));
        for (; next < mEvents.size(); next++) {
            int applied = next + 1;
            Set<ServiceModel> changed = apply(mEvents.get(next));
            changed.forEach(k -> addShares(k, applied));
        }
        return new Result(minAge(start), mShares);
    }

    /** An engine doesn't cease to drain, so it served from its start until it was first seen. */
    private boolean servedBefore(Engine engine) {
        return !engine.draining() && engine.startedMillis() < mBornBeforeMillis;
    }

    /** Applies a change and returns which shares it may have changed. */
    private Set<ServiceModel> apply(Event event) {
        Optional<Engine> before = Optional.ofNullable(mEngines.remove(event.id()));
        event.engine().ifPresent(e -> mEngines.put(event.id(), e));
        Set<ServiceModel> keys = new HashSet<>();
        if (!Serving.isSame(before.orElse(null), event.engine().orElse(null))) {
            before.ifPresent(e -> keys.addAll(ServiceModel.of(e)));
            event.engine().ifPresent(e -> keys.addAll(ServiceModel.of(e)));
        }
        return keys;
    }

    private static Set<ServiceModel> keysOf(Collection<Engine> engines) {
        Set<ServiceModel> keys = new HashSet<>();
        engines.forEach(e -> keys.addAll(ServiceModel.of(e)));
        return keys;
    }

    private void addShares(ServiceModel key, int applied) {
        VersionShares shares = VersionShares.count(mEngines.values(), key);
        List<AgedShares> all = mShares.computeIfAbsent(key, k -> new ArrayList<>());
        if (all.isEmpty() || !all.get(all.size() - 1).shares().equals(shares)) {
            all.add(new AgedShares(shares, minAge(applied)));
        }
    }

    /** Returns how long ago a number of changes had been made, at least. */
    private Duration minAge(int applied) {
        List<Integer> beats =
                mEngines.values().stream()
                        .filter(e -> isThereAtTheEnd(e, applied))
                        .map(e -> beatsFrom(e, applied))
                        .sorted()
                        .toList();
        if (beats.isEmpty()) {
            return Duration.ZERO;
        }
        int count = beats.get((int) ((beats.size() - 1) * BEATS_QUANTILE));
        return mHeartbeat.multipliedBy(Math.max(0, count - 1));
    }

    private boolean isThereAtTheEnd(Engine engine, int applied) {
        int removed = last(mRemovals.get(engine.id()));
        return removed < applied || removed < last(mWrites.get(Incarnation.of(engine)));
    }

    private static int last(List<Integer> sorted) {
        return sorted == null ? -1 : sorted.get(sorted.size() - 1);
    }

    /** Returns the number of heartbeats; an engine whose entry was removed writes out of turn. */
    private int beatsFrom(Engine engine, int index) {
        return countFrom(mWrites.get(Incarnation.of(engine)), index)
                - countFrom(mRemovals.get(engine.id()), index);
    }

    private static int countFrom(List<Integer> sorted, int index) {
        if (sorted == null) {
            return 0;
        }
        int at = Collections.binarySearch(sorted, index);
        return sorted.size() - (at < 0 ? -at - 1 : at);
    }
}
