package org.fescuehollow.catalog;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The engines in use, from the entries that this node reads and from reports of other nodes.
 *
 * <p>Failure patterns: entries of running engines lapse while the store is away and are written
 * again shortly after its return, so an engine whose entry is missing then stays in use for a
 * moment. A store that returns from an older copy lists engines that are gone, and draining ones as
 * if they weren't.
 *
 * <p>Invariants: an engine that this node read to be draining, or that said so itself, never comes
 * back into use in the same incarnation; one that is gone comes back only if its entry was written
 * again or outlasts its own expiry. Not safe for concurrent use.
 */
public final class EngineTable {
    /** After the store returns, entries of running engines may be missing for up to this time. */
    public static final Duration RETURN_GRACE = Duration.ofMillis(2_600);

    /** An entry that nobody writes lapses within this time: three heartbeats and a margin. */
    private static final Duration ENTRY_EXPIRY = Duration.ofMillis(5_000);

    /** Longer than the time by which a copy of the store can be behind. */
    private static final long REMEMBER_GONE_NANOS = Duration.ofSeconds(60).toNanos();

    /** Engines that said that they are leaving; the one that said so longest ago is forgotten. */
    private static final int MAX_SAID_LEAVING = 4_096;

    private final Listener mListener;
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final Map<String, Long> mMissingSince = new HashMap<>();
    private final Map<String, Gone> mGone = new HashMap<>();
    private final Map<String, Held> mHeld = new HashMap<>();
    private final Map<String, Long> mSaidLeaving = new BoundedMap<>(MAX_SAID_LEAVING);
    private final LeaveReports mLeaveReports = new LeaveReports();

    /** Receives the changes of the table. */
    public interface Listener {
        /**
         * Called if an engine is new, restarted or draining.
         *
         * @param engine the engine
         */
        void onEngine(Engine engine);

        /**
         * Called if an engine is no longer in use.
         *
         * @param engine the engine as it was last known
         * @param reason why, for the log
         */
        void onGone(Engine engine, String reason);

        /**
         * Called if this node is the first to read that an engine is draining or gone.
         *
         * @param engine the engine
         */
        void onLeaving(Engine engine);
    }

    /** An incarnation that this node read to be gone. */
    private record Gone(long startedMillis, long goneNanos) {}

    /** An entry that may come from an older copy of the store. */
    private record Held(Engine engine, long listedNanos) {}

    /**
     * Creates an empty table.
     *
     * @param listener receives the changes
     */
    public EngineTable(Listener listener) {
        mListener = listener;
    }

    /**
     * Handles the keys of a complete listing; engines that it lacks are missing.
     *
     * @param ids the ids of all listed engines, readable or not
     * @param now the monotonic time in nanoseconds
     */
    public void onListed(Set<String> ids, long now) {
        mEngines.keySet().stream()
                .filter(id -> !ids.contains(id))
                .forEach(id -> mMissingSince.putIfAbsent(id, now));
        mHeld.keySet().retainAll(ids);
    }

    /**
     * Handles an engine's entry.
     *
     * @param engine the engine
     * @param mayBeOld true if the entry was listed by a store that just returned from a copy
     * @param now the monotonic time in nanoseconds
     */
    public void onEntry(Engine engine, boolean mayBeOld, long now) {
        mMissingSince.remove(engine.id());
        if (mayBeOld && wasGone(engine, now)) {
            mHeld.put(engine.id(), new Held(engine, now));
            return;
        }
        register(engine);
    }

    private boolean wasGone(Engine engine, long now) {
        Gone gone = mGone.get(engine.id());
        return gone != null
                && gone.startedMillis() == engine.startedMillis()
                && now - gone.goneNanos() <= REMEMBER_GONE_NANOS;
    }

    private void register(Engine read) {
        Engine before = mEngines.get(read.id());
        boolean same = before != null && before.isSameIncarnation(read);
        boolean wasDraining = same && before.draining();
        boolean staysDraining =
                hasSaidLeaving(read) || wasDraining && !mLeaveReports.contains(read.id());
        Engine engine = staysDraining && !read.draining() ? read.asDraining() : read;
        mEngines.put(engine.id(), engine);
        mHeld.remove(engine.id());
        mGone.remove(engine.id());
        mLeaveReports.onRead(engine.id());
        if (!same || wasDraining != engine.draining()) {
            mListener.onEngine(engine);
        }
        if (same && !wasDraining && engine.draining()) {
            mListener.onLeaving(engine);
        }
    }

    /**
     * Handles an entry that can't be read; it names no engine, but the one known may still run.
     *
     * @param id the engine's id
     */
    public void onUnreadable(String id) {
        mMissingSince.remove(id);
    }

    /**
     * Handles the removal of an engine's entry.
     *
     * @param id the engine's id
     * @param storeStable whether the store has answered for at least {@link #RETURN_GRACE}, so that
     *     the entry didn't lapse while it was away
     * @param now the monotonic time in nanoseconds
     */
    public void onRemoved(String id, boolean storeStable, long now) {
        mHeld.remove(id);
        if (storeStable) {
            remove(id, "removed", now);
        } else {
            mMissingSince.put(id, now);
        }
    }

    private void remove(String id, String reason, long now) {
        Engine engine = mEngines.remove(id);
        mMissingSince.remove(id);
        mLeaveReports.onRead(id);
        if (engine == null) {
            return;
        }
        mGone.values().removeIf(g -> now - g.goneNanos() > REMEMBER_GONE_NANOS);
        mGone.put(id, new Gone(engine.startedMillis(), now));
        mListener.onGone(engine, reason);
        if (!engine.draining()) {
            mListener.onLeaving(engine);
        }
    }

    /**
     * Handles the report of another node that an engine is draining or gone.
     *
     * @param id the engine's id
     * @param startedMillis the Unix time of its start
     * @param now the monotonic time in nanoseconds
     * @return true if the engine was in use
     */
    public boolean onLeavingReported(String id, long startedMillis, long now) {
        Engine engine = mEngines.get(id);
        if (engine == null || engine.startedMillis() != startedMillis || engine.draining()) {
            return false;
        }
        mLeaveReports.add(engine, now);
        mEngines.put(id, engine.asDraining());
        return true;
    }

    /**
     * Handles the word of an engine itself that it is leaving, in a response to this node. Unlike a
     * report of another node, it needs no confirmation.
     *
     * @param said the engine as it was when the request was sent to it
     * @return true if it was in use
     */
    public boolean onLeavingSaid(Engine said) {
        mSaidLeaving.put(said.id(), said.startedMillis());
        Engine engine = mEngines.get(said.id());
        if (engine == null || !engine.isSameIncarnation(said)) {
            return false;
        }
        mLeaveReports.onRead(said.id());
        if (engine.draining()) {
            return false;
        }
        Engine leaving = engine.asDraining();
        mEngines.put(leaving.id(), leaving);
        mListener.onEngine(leaving);
        mListener.onLeaving(leaving);
        return true;
    }

    private boolean hasSaidLeaving(Engine engine) {
        return Long.valueOf(engine.startedMillis()).equals(mSaidLeaving.get(engine.id()));
    }

    /**
     * Drops reports that this node should have read itself by now.
     *
     * @param readTime the time within which this node reads a change
     * @param now the monotonic time in nanoseconds
     * @return the engines that are in use again
     */
    public List<Engine> dropRefutedReports(Duration readTime, long now) {
        List<Engine> refuted = mLeaveReports.removeOlderThan(readTime, now);
        refuted.forEach(e -> mEngines.put(e.id(), e));
        return refuted;
    }

    /**
     * Returns when {@link #expire} is due next.
     *
     * @param now the monotonic time in nanoseconds
     * @return the time until the first missing or held entry is decided, at least a millisecond;
     *     empty if there is none
     */
    public Optional<Duration> expiryDelay(long now) {
        LongStream missing =
                mMissingSince.values().stream().mapToLong(t -> t + RETURN_GRACE.toNanos());
        LongStream held =
                mHeld.values().stream().mapToLong(h -> h.listedNanos() + ENTRY_EXPIRY.toNanos());
        OptionalLong first = LongStream.concat(missing, held).min();
        return first.isEmpty()
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(Math.max(1_000_000, first.getAsLong() - now)));
    }

    /**
     * Removes engines whose entries are missing for too long, and adds those whose entries outlast
     * the expiry of an entry that nobody writes. Call this only while the store is reachable.
     *
     * @param now the monotonic time in nanoseconds
     * @return true if the table changed
     */
    public boolean expire(long now) {
        List<String> missing =
                mMissingSince.entrySet().stream()
                        .filter(e -> now - e.getValue() >= RETURN_GRACE.toNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        missing.forEach(id -> remove(id, "missing", now));
        missing.forEach(mMissingSince::remove);
        List<Engine> alive =
                mHeld.values().stream()
                        .filter(h -> now - h.listedNanos() >= ENTRY_EXPIRY.toNanos())
                        .map(Held::engine)
                        .toList();
        alive.forEach(this::register);
        return Stream.of(missing, alive).anyMatch(changed -> !changed.isEmpty());
    }

    /** Returns how many engines that are gone this table remembers. */
    int rememberedGone() {
        return mGone.size();
    }

    /**
     * Returns the engines.
     *
     * @return a live view
     */
    public Collection<Engine> engines() {
        return Collections.unmodifiableCollection(mEngines.values());
    }

    /**
     * Finds an engine.
     *
     * @param id the engine's id
     * @return the engine, or empty if it is gone
     */
    public Optional<Engine> find(String id) {
        return Optional.ofNullable(mEngines.get(id));
    }
}
