package org.fescuehollow.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The requests that wait on this node for an engine.
 *
 * <p>Load pattern: more requests arrive than the engines can serve. Items are ordered by rank;
 * within a rank, those that can still meet their latency objective come before those that can't,
 * and then by arrival.
 *
 * <p>Not safe for concurrent use.
 *
 * @param <T> the items' type
 */
public final class WaitQueue<T> {
    private final Function<T, DispatchRequest> mToRequest;
    private final List<T> mItems = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param toRequest returns the request of an item
     */
    public WaitQueue(Function<T, DispatchRequest> toRequest) {
        mToRequest = toRequest;
    }

    /**
     * Adds an item.
     *
     * @param item the item
     */
    public void add(T item) {
        mItems.add(item);
    }

    /**
     * Removes an item.
     *
     * @param item the item
     * @return true if it was in the queue
     */
    public boolean remove(T item) {
        return mItems.remove(item);
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
     * Passes some of the items to a predicate in order, and removes those that it accepts.
     *
     * @param filter selects the items to pass
     * @param acceptor accepts or rejects an item; called once for each
     * @param now the monotonic time in nanoseconds
     */
    public void removeAccepted(Predicate<T> filter, Predicate<T> acceptor, long now) {
        List<T> ordered = new ArrayList<>(mItems.stream().filter(filter).toList());
        ordered.sort(
                Comparator.<T>comparingInt(i -> mToRequest.apply(i).rank())
                        .thenComparing(i -> now >= mToRequest.apply(i).objectiveNanos())
                        .thenComparingLong(i -> mToRequest.apply(i).arrivalNanos()));
        ordered.stream().filter(acceptor).toList().forEach(mItems::remove);
    }

    /**
     * Returns the number of waiting items.
     *
     * @return the number of items
     */
    public int size() {
        return mItems.size();
    }
}
