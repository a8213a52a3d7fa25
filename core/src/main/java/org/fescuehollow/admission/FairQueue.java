package org.fescuehollow.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fescuehollow.model.Priority;

/**
 * A queue that is fair between teams within each priority class.
 *
 * <p>Start-time fair queueing: each item gets a start tag of its team's last finish tag or the
 * virtual time, whichever is later, and a finish tag one weighted unit later; the lowest start tag
 * goes first. A team that floods the queue only delays itself. Source: Goyal, Vin and Cheng,
 * "Start-time Fair Queueing", 1996.
 *
 * <p>Invariants: an item taken was offered and not taken before; within a team and class, items
 * keep their order unless skipped by the filter. Not safe for concurrent use.
 *
 * @param <T> the items' type
 */
public final class FairQueue<T> {
    private final Map<Priority, ClassQueue<T>> mClasses = new EnumMap<>(Priority.class);
    private int mSize;

    /** Creates an empty queue. */
    public FairQueue() {
        for (Priority p : Priority.values()) {
            mClasses.put(p, new ClassQueue<>());
        }
    }

    /**
     * Adds an item.
     *
     * @param priority its class
     * @param team its team
     * @param weight the team's weight, at least one
     * @param item the item
     */
    public void offer(Priority priority, String team, int weight, T item) {
        mClasses.get(priority).offer(team, weight, item);
        mSize++;
    }

    /**
     * Takes the next item that passes a filter.
     *
     * @param filter tells whether an item may be taken now
     * @return the item, or empty if none passes
     */
    public Optional<T> poll(Predicate<T> filter) {
        for (ClassQueue<T> q : mClasses.values()) {
            Optional<T> item = q.poll(filter);
            if (item.isPresent()) {
                mSize--;
                return item;
            }
        }
        return Optional.empty();
    }

    /**
     * Removes all items that match.
     *
     * @param filter tells which items to remove
     * @return the removed items in queue order
     */
    public List<T> removeIf(Predicate<T> filter) {
        List<T> removed = new ArrayList<>();
        mClasses.values().forEach(q -> q.removeIf(filter, removed));
        mSize -= removed.size();
        return removed;
    }

    /**
     * Returns the items in the order in which they would be taken, without taking them.
     *
     * @return a copy
     */
    public List<T> ordered() {
        return mClasses.values().stream().flatMap(ClassQueue::ordered).toList();
    }

    /**
     * Returns how many items wait.
     *
     * @return the number of items
     */
    public int size() {
        return mSize;
    }

    /** The queue of one priority class; the teams' queues hold tagged items in tag order. */
    private static final class ClassQueue<T> {
        private final Map<String, Deque<Tagged<T>>> mTeams = new HashMap<>();
        private final Map<String, Double> mFinish = new HashMap<>();
        private double mVirtualTime;
        private long mSequence;

        void offer(String team, int weight, T item) {
            double start = Math.max(mVirtualTime, mFinish.getOrDefault(team, 0.0));
            mFinish.put(team, start + 1.0 / Math.max(1, weight));
            mTeams.computeIfAbsent(team, t -> new ArrayDeque<>())
                    .add(new Tagged<>(start, mSequence++, item));
        }

        Optional<T> poll(Predicate<T> filter) {
            Optional<Tagged<T>> first =
                    mTeams.values().stream()
                            .flatMap(q -> q.stream().filter(t -> filter.test(t.item())).limit(1))
                            .min(Tagged.order());
            first.ifPresent(this::take);
            return first.map(Tagged::item);
        }

        private void take(Tagged<T> tagged) {
            mTeams.values().forEach(q -> q.remove(tagged));
            mTeams.values().removeIf(Deque::isEmpty);
            mVirtualTime = Math.max(mVirtualTime, tagged.start());
            if (mTeams.isEmpty()) {
                mFinish.clear();
                mVirtualTime = 0;
            }
        }

        void removeIf(Predicate<T> filter, List<T> removed) {
            List<Tagged<T>> gone =
                    mTeams.values().stream()
                            .flatMap(Collection::stream)
                            .filter(t -> filter.test(t.item()))
                            .sorted(Tagged.order())
                            .toList();
            gone.forEach(t -> mTeams.values().forEach(q -> q.remove(t)));
            mTeams.values().removeIf(Deque::isEmpty);
            gone.forEach(t -> removed.add(t.item()));
        }

        Stream<T> ordered() {
            return mTeams.values().stream()
                    .flatMap(Collection::stream)
                    .sorted(Tagged.order())
                    .map(Tagged::item);
        }
    }

    /** An item with its start tag; the sequence number breaks ties in order of arrival. */
    private record Tagged<T>(double start, long sequence, T item) {
        static <T> Comparator<Tagged<T>> order() {
            return Comparator.<Tagged<T>>comparingDouble(Tagged::start)
                    .thenComparingLong(Tagged::sequence);
        }
    }
}
