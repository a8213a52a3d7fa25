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
 * A queue with strict priority between classes and fair sharing between the teams of a class.
 *
 * <p>Start-time fair queueing: each item gets a start tag of its team's last finish tag or the
 * virtual time, whichever is later, and a finish tag one weighted unit later; the lowest start tag
 * goes first. A team that floods the queue delays only its own items. Source: Goyal, Vin and Cheng,
 * "Start-time Fair Queueing", 1996.
 *
 * <p>Invariants: an item is taken at most once; the items of a team in a class are taken in the
 * order offered, apart from items that the filter skips. Not safe for concurrent use.
 *
 * @param <T> the items' type
 */
public final class FairQueue<T> {
    private final Map<Priority, ClassQueue<T>> mQueuesByPriority = new EnumMap<>(Priority.class);
    private int mSize;

    /** Creates an empty queue. */
    public FairQueue() {
        for (Priority p : Priority.values()) {
            mQueuesByPriority.put(p, new ClassQueue<>());
        }
    }

    /**
     * Adds an item.
     *
     * @param priority the item's priority class
     * @param team the item's team
     * @param weight the team's weight, at least one
     * @param item the item
     */
    public void offer(Priority priority, String team, int weight, T item) {
        mQueuesByPriority.get(priority).offer(team, weight, item);
        mSize++;
    }

    /**
     * Takes the next item that passes a filter.
     *
     * @param filter whether an item may be taken now
     * @return the item, or empty if none passes
     */
    public Optional<T> poll(Predicate<T> filter) {
        for (ClassQueue<T> q : mQueuesByPriority.values()) {
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
     * @param filter whether to remove an item
     * @return the removed items in queue order
     */
    public List<T> removeIf(Predicate<T> filter) {
        List<T> removed = new ArrayList<>();
        mQueuesByPriority.values().forEach(q -> q.removeIf(filter, removed));
        mSize -= removed.size();
        return removed;
    }

    /**
     * Returns the items in the order in which they would be taken, without taking them.
     *
     * @return a list that later changes of the queue don't affect
     */
    public List<T> ordered() {
        return mQueuesByPriority.values().stream().flatMap(ClassQueue::ordered).toList();
    }

    /**
     * Returns how many items wait.
     *
     * @return the number of items
     */
    public int size() {
        return mSize;
    }

    /**
     * The queue of one priority class. It has a queue for each team, with items in the order of
     * their start tags.
     */
    private static final class ClassQueue<T> {
        private final Map<String, Deque<Tagged<T>>> mQueuesByTeam = new HashMap<>();
        private final Map<String, Double> mFinishTags = new HashMap<>();
        private double mVirtualTime;
        private long mNextSequence;

        void offer(String team, int weight, T item) {
            double start = Math.max(mVirtualTime, mFinishTags.getOrDefault(team, 0.0));
            mFinishTags.put(team, start + 1.0 / Math.max(1, weight));
            mQueuesByTeam
                    .computeIfAbsent(team, t -> new ArrayDeque<>())
                    .add(new Tagged<>(start, mNextSequence++, item));
        }

        Optional<T> poll(Predicate<T> filter) {
            Optional<Tagged<T>> first =
                    mQueuesByTeam.values().stream()
                            .flatMap(q -> q.stream().filter(t -> filter.test(t.item())).limit(1))
                            .min(Tagged.order());
            first.ifPresent(this::remove);
            return first.map(Tagged::item);
        }

        private void remove(Tagged<T> tagged) {
            mQueuesByTeam.values().forEach(q -> q.remove(tagged));
            mQueuesByTeam.values().removeIf(Deque::isEmpty);
            mVirtualTime = Math.max(mVirtualTime, tagged.startTag());
            if (mQueuesByTeam.isEmpty()) {
                mFinishTags.clear();
                mVirtualTime = 0;
            }
        }

        void removeIf(Predicate<T> filter, List<T> removed) {
            List<Tagged<T>> gone =
                    mQueuesByTeam.values().stream()
                            .flatMap(Collection::stream)
                            .filter(t -> filter.test(t.item()))
                            .sorted(Tagged.order())
                            .toList();
            gone.forEach(t -> mQueuesByTeam.values().forEach(q -> q.remove(t)));
            mQueuesByTeam.values().removeIf(Deque::isEmpty);
            gone.forEach(t -> removed.add(t.item()));
        }

        Stream<T> ordered() {
            return mQueuesByTeam.values().stream()
                    .flatMap(Collection::stream)
                    .sorted(Tagged.order())
                    .map(Tagged::item);
        }
    }

    /** An item with its start tag. The sequence number orders items with equal tags by arrival. */
    private record Tagged<T>(double startTag, long sequence, T item) {
        static <T> Comparator<Tagged<T>> order() {
            return Comparator.<Tagged<T>>comparingDouble(Tagged::startTag)
                    .thenComparingLong(Tagged::sequence);
        }
    }
}
