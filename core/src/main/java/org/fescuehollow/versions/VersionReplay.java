package org.fescuehollow.versions;

import static java.util.stream.Collectors.partitioningBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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
 * <p>An engine that was first seen to drain may have done so already when the history begins, so
 * the shares with and without it count until then.
 *
 * <p>Not safe for concurrent use.
 */
public final class VersionReplay {
    /** Of the engines that were there throughout, at most a quarter wrote out of turn. */
    private static final double BEATS_QUANTILE = 0.75;

    /** Heartbeats are a little late, and the last ones may have left an entry as it was. */
    private static final double MIN_BEATS_SHARE = 0.75;

    private static final double MAX_BEATS_SHARE = 1.05;

    /** Writes out of turn, and the difference of clocks. */
    private static final long BEATS_SLACK = 3;

    private final List<Event> mEvents;
    private final Duration mHeartbeat;
    private final Times mTimes;
    private final Map<Incarnation, List<Write>> mWrites = new HashMap<>();
    private final Map<String, List<Integer>> mRemovals = new HashMap<>();
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Set<String> mDoubtful = new HashSet<>();
    private final Map<ServiceModel, List<AgedShares>> mShares = new HashMap<>();

    /** An engine between two starts. */
    private record Incarnation(String id, long startedMillis) {
        static Incarnation of(Engine engine) {
            return new Incarnation(engine.id(), engine.startedMillis());
        }
    }

    /** A write of an entry: its position among the changes, and the count that it names. */
    private record Write(int index, long count) {}

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

    /**
     * Times of day by this node's clock, which may differ somewhat from those of engines.
     *
     * @param nowMillis the Unix time; 0 if it isn't known
     * @param bornBeforeMillis a Unix time before the first change
     */
    public record Times(long nowMillis, long bornBeforeMillis) {
        private static final Times UNKNOWN = new Times(0, Long.MAX_VALUE);
    }

    private VersionReplay(List<Event> events, Duration heartbeat, Times times) {
        mEvents = events;
        mHeartbeat = heartbeat;
        mTimes = times;
        for (int i = 0; i < events.size(); i++) {
            Event e = events.get(i);
            int index = i;
            if (e.removed()) {
                add(mRemovals, e.id(), index);
            }
            e.engine()
                    .ifPresent(
                            engine ->
                                    add(
                                            mWrites,
                                            Incarnation.of(engine),
                                            new Write(index, engine.orderCount())));
        }
    }

    private static <K, V> void add(Map<K, List<V>> lists, K key, V value) {
        lists.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
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
        return replay(entries, events, afterRevision, heartbeat, Times.UNKNOWN);
    }

    /**
     * Replays the changes, some of which may be of engines that started between two of them.
     *
     * @param entries the entries as they are now
     * @param events all changes after a revision, in order
     * @param afterRevision that revision
     * @param heartbeat the time between two writes of an engine that doesn't change
     * @param times when it is replayed
     * @return the shares
     */
    public static Result replay(
            Collection<Entry> entries,
            List<Event> events,
            long afterRevision,
            Duration heartbeat,
            Times times) {
        return new VersionReplay(events, heartbeat, times).run(entries, afterRevision);
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
            Optional<Engine> drained = first.engine().filter(this::drainedBefore);
            if (first.created() <= afterRevision && drained.isPresent()) {
                mEngines.put(first.id(), drained.get().asReady());
                mDoubtful.add(first.id());
            } else if (first.removed() || first.created() <= afterRevision) {
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
        Duration covered = minAge(start);
        keysOf(mEngines.values()).forEach(k -> addShares(k, start));
        for (; next < mEvents.size(); next++) {
            int applied = next + 1;
            Set<ServiceModel> changed = apply(mEvents.get(next));
            changed.forEach(k -> addShares(k, applied));
        }
        return new Result(covered, mShares);
    }

    /** An engine doesn't cease to drain, so it served from its start until it was first seen. */
    private boolean servedBefore(Engine engine) {
        return !engine.draining() && engine.startedMillis() < mTimes.bornBeforeMillis();
    }

    /** Such an engine served, or drained already, from its start until it was first seen. */
    private boolean drainedBefore(Engine engine) {
        return engine.draining() && engine.startedMillis() < mTimes.bornBeforeMillis();
    }

    /** Applies a change and returns which shares it may have changed. */
    private Set<ServiceModel> apply(Event event) {
        mDoubtful.remove(event.id());
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
        List<AgedShares> all = mShares.computeIfAbsent(key, k -> new ArrayList<>());
        Duration age = minAge(applied);
        for (VersionShares shares : possibleShares(key)) {
            if (all.isEmpty() || !all.get(all.size() - 1).shares().equals(shares)) {
                all.add(new AgedShares(shares, age));
            }
        }
    }

    /** Returns the shares with any of the engines that may have drained already. */
    private Set<VersionShares> possibleShares(ServiceModel key) {
        Map<Boolean, List<Engine>> engines =
                mEngines.values().stream().collect(partitioningBy(e -> mDoubtful.contains(e.id())));
        Set<VersionShares> possible = new LinkedHashSet<>();
        possible.add(VersionShares.count(engines.get(false), key));
        engines.get(true).stream()
                .filter(key::isServedBy)
                .forEach(
                        e ->
                                possible.addAll(
                                        possible.stream()
                                                .map(s -> s.plus(e.softwareVersion()))
                                                .toList()));
        return possible;
    }

    /** Returns how long ago a number of changes had been made, at least. */
    private Duration minAge(int applied) {
        List<Long> beats =
                mEngines.values().stream()
                        .filter(e -> !mDoubtful.contains(e.id()))
                        .filter(e -> isThereAtTheEnd(e, applied))
                        .map(e -> beatsFrom(e, applied))
                        .sorted()
                        .toList();
        if (beats.isEmpty()) {
            return Duration.ZERO;
        }
        long count = beats.get((int) ((beats.size() - 1) * BEATS_QUANTILE));
        return mHeartbeat.multipliedBy(Math.max(0, count));
    }

    private boolean isThereAtTheEnd(Engine engine, int applied) {
        List<Integer> removals = mRemovals.getOrDefault(engine.id(), List.of());
        int removed = removals.isEmpty() ? -1 : removals.get(removals.size() - 1);
        return removed < applied
                || writes(engine).stream().reduce((a, b) -> b).map(Write::index).orElse(-1)
                        > removed;
    }

    private List<Write> writes(Engine engine) {
        return mWrites.getOrDefault(Incarnation.of(engine), List.of());
    }

    /**
     * Returns the number of heartbeats between the writes from an index on, at least. An engine
     * that begins to drain or whose entry was removed writes out of turn.
     */
    private long beatsFrom(Engine engine, int index) {
        List<Write> writes = writes(engine).stream().filter(w -> w.index() >= index).toList();
        if (writes.isEmpty()) {
            return 0;
        }
        Write last = writes.get(writes.size() - 1);
        long beats = countsBeats(engine, last) ? last.count() - writes.get(0).count() : 0;
        boolean drained = !isDraining(writes.get(0)) && isDraining(last);
        long outOfTurn = removalsFrom(engine.id(), index) + (drained ? 1 : 0);
        return Math.max(writes.size() - 1, beats) - outOfTurn;
    }

    private boolean isDraining(Write write) {
        return mEvents.get(write.index()).engine().filter(Engine::draining).isPresent();
    }

    private long removalsFrom(String id, int index) {
        return mRemovals.getOrDefault(id, List.of()).stream().filter(i -> i >= index).count();
    }

    /**
     * Returns whether the count in an engine's entries is that of its heartbeats, also of those at
     * which its entry stayed the same. It must fit the time since its start.
     */
    private boolean countsBeats(Engine engine, Write last) {
        double lifeBeats =
                (mTimes.nowMillis() - engine.startedMillis()) / (double) mHeartbeat.toMillis();
        return last.count() >= lifeBeats * MIN_BEATS_SHARE
                && last.count() <= lifeBeats * MAX_BEATS_SHARE + BEATS_SLACK;
    }
}
