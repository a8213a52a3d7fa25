package org.fescuehollow.versions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fescuehollow.catalog.Engine;

/**
 * A store in virtual time whose engines write heartbeats. The whole history is laid out before the
 * run; a read sees what was written before. Times are in milliseconds.
 */
final class SimulatedStore {
    static final int HEARTBEAT_MILLIS = 1_200;
    static final int HISTORY_MILLIS = 20_000;

    /** A heartbeat comes this much early or late. */
    private static final double JITTER = 0.1;

    private final Random mRandom;
    private final List<Write> mWrites = new ArrayList<>();
    private final List<Write> mChanges = new ArrayList<>();

    /** A write of an entry, or its removal. */
    record Write(int atMillis, int createdMillis, String id, Optional<Engine> engine) {
        VersionReplay.Event toEvent() {
            return new VersionReplay.Event(id, createdMillis, engine, engine.isEmpty());
        }
    }

    SimulatedStore(Random random) {
        mRandom = random;
    }

    /** Adds an engine that is ready for some time and draining for some more. */
    void addEngine(Engine ready, int fromMillis, int drainMillis, int removedMillis) {
        mChanges.add(new Write(fromMillis, fromMillis, ready.id(), Optional.of(ready)));
        if (drainMillis < removedMillis) {
            mChanges.add(
                    new Write(
                            drainMillis, fromMillis, ready.id(), Optional.of(ready.asDraining())));
        }
        mChanges.add(new Write(removedMillis, fromMillis, ready.id(), Optional.empty()));
        double next = fromMillis + mRandom.nextDouble() * HEARTBEAT_MILLIS;
        while (next < removedMillis) {
            Engine engine = next < drainMillis ? ready : ready.asDraining();
            mWrites.add(new Write((int) next, fromMillis, ready.id(), Optional.of(engine)));
            next += HEARTBEAT_MILLIS * (1 + JITTER * (2 * mRandom.nextDouble() - 1));
        }
    }

    /** Adds an engine that crashes, so that its entry expires. */
    void addSilentEngine(Engine ready, int fromMillis, int crashMillis) {
        int removed = crashMillis + 3 * HEARTBEAT_MILLIS;
        addEngine(ready, fromMillis, removed, removed);
        mWrites.removeIf(w -> w.id().equals(ready.id()) && w.atMillis() >= crashMillis);
    }

    /** Ends the layout. */
    void sort() {
        mWrites.addAll(mChanges);
        mWrites.sort(Comparator.comparingInt(Write::atMillis));
        mChanges.sort(Comparator.comparingInt(Write::atMillis));
    }

    /** Returns the changes after a time, until another time inclusive. */
    List<Write> changes(int afterMillis, int untilMillis) {
        return between(mChanges, afterMillis, untilMillis);
    }

    /** Returns all writes after a time, until another time inclusive. */
    List<Write> writes(int afterMillis, int untilMillis) {
        return between(mWrites, afterMillis, untilMillis);
    }

    private static List<Write> between(List<Write> writes, int after, int until) {
        return writes.subList(firstAfter(writes, after), firstAfter(writes, until));
    }

    private static int firstAfter(List<Write> writes, int time) {
        int low = 0;
        int high = writes.size();
        while (low < high) {
            int mid = (low + high) / 2;
            if (writes.get(mid).atMillis() <= time) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        return low;
    }

    /** Returns the entries at a time. */
    Collection<Write> entries(int millis) {
        Map<String, Write> entries = new HashMap<>();
        changes(Integer.MIN_VALUE, millis)
                .forEach(
                        w -> {
                            entries.remove(w.id());
                            w.engine().ifPresent(e -> entries.put(w.id(), w));
                        });
        return entries.values();
    }
}
