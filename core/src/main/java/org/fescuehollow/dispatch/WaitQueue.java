package org.fescuehollow.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The requests that wait on this node for an engine.
 *
 * <p>Load pattern: more requests arrive than the engines can serve. Items are ordered by rank;
 * within a rank, those that can still meet their latency objective come before those that can't,
 * and then by arrival.
 *
 * <p>Invariants: an item is in the queue once at most, and not while it is passed to a predicate;
 * an item whose predicate throws is not passed again, and the others are passed all the same. Not
 * safe for concurrent use.
 *
 * @param <T> the items' type
 */
public final class WaitQueue<T> {
    private final Function<T, DispatchRequest> mToRequest;
    private final Map<T, Long> mSequenceNumbers = new HashMap<>();
    private long mNextSequenceNumber;

    /**
     * Creates an empty queue.
     *
     * @param toRequest returns the request of an item
     */
    public WaitQueue(Function<T, DispatchRequest> toRequest) {
        mToRequest = toRequest;
    }

    /**
     * Adds an item, unless it is in the queue.
     *
     * @param item the item
     */
    public void add(T item) {
        mSequenceNumbers.computeIfAbsent(item, i -> mNextSequenceNumber++);
    }

    /**
     * Removes an item.
     *
     * @param item the item
     * @return true if it was in the queue
     */
    public boolean remove(T item) {
        return mSequenceNumbers.remove(item) != null;
    }

    /**
     * Passes all items to a predicate in order, and removes those that it accepts.
     *
     * @param acceptor accepts or rejects an item; called once for each
     * @param now the monotonic time in nanoseconds
     */
    public void removeAccepted(Predicate<T> acceptor, long now) {
        removeAccepted(i -> true, acceptor, now);
    }

    /**
     * Passes some of the items to a predicate in order, and removes those that it accepts or throws
     * an exception for. The predicate may change the queue.
     *
     * @param filter selects the items to pass
     * @param acceptor accepts or rejects an item; called once for each that is still in the queue
     * @param now the monotonic time in nanoseconds
     * @throws RuntimeException the first exception of the predicate, once all items were passed
     */
    public void removeAccepted(Predicate<T> filter, Predicate<T> acceptor, long now) {
        List<T> ordered =
                new ArrayList<>(mSequenceNumbers.keySet().stream().filter(filter).toList());
        ordered.sort(
                Comparator.<T>comparingInt(i -> mToRequest.apply(i).rank())
                        .thenComparing(i -> now >= mToRequest.apply(i).objectiveNanos())
                        .thenComparingLong(i -> mToRequest.apply(i).arrivalNanos())
                        .thenComparingLong(mSequenceNumbers::get));
        RuntimeException failure = null;
        for (T item : ordered) {
            try {
                offer(item, acceptor);
            } catch (RuntimeException e) {
                failure = failure == null ? e : failure;
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    /** Takes the item out first, so that a nested pass or an exception can't have it sent twice. */
    private void offer(T item, Predicate<T> acceptor) {
        Long sequenceNumber = mSequenceNumbers.remove(item);
        if (sequenceNumber != null && !acceptor.test(item)) {
            mSequenceNumbers.put(item, sequenceNumber);
        }
    }

    /**
     * Returns the number of waiting items.
     *
     * @return the number of items
     */
    public int size() {
        return mSequenceNumbers.size();
    }
}
