package org.fescuehollow.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The requests that wait on this node.
 *
 * <p>Load pattern: more arrives than engines can serve. The most urgent go first; within a rank
 * those that can still meet their latency objective go before those that can't, and else the
 * earliest first.
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
     * @param needs gives an item's request
     */
    public WaitQueue(Function<T, DispatchRequest> needs) {
        mToRequest = needs;
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
     * @return true if it waited
     */
    public boolean remove(T item) {
        return mItems.remove(item);
    }

    /**
     * Offers the items in order and removes those that are taken.
     *
     * @param taker tells whether it took an item
     * @param now the monotonic time in nanoseconds
     */
    public void removeAccepted(Predicate<T> taker, long now) {
        removeAccepted(i -> true, taker, now);
    }

    /**
     * Offers some of the items in order and removes those that are taken.
     *
     * @param concerned tells whether something has changed for an item
     * @param taker tells whether it took an item
     * @param now the monotonic time in nanoseconds
     */
    public void removeAccepted(Predicate<T> concerned, Predicate<T> taker, long now) {
        List<T> order = new ArrayList<>(mItems.stream().filter(concerned).toList());
        order.sort(
                Comparator.<T>comparingInt(i -> mToRequest.apply(i).rank())
                        .thenComparing(i -> now >= mToRequest.apply(i).objectiveNanos())
                        .thenComparingLong(i -> mToRequest.apply(i).arrivalNanos()));
        order.stream().filter(taker).toList().forEach(mItems::remove);
    }

    /**
     * Returns how many items wait.
     *
     * @return the number of items
     */
    public int size() {
        return mItems.size();
    }
}
