package org.fescuehollow.placement;

/**
 * Permission to load adapters from the weight store.
 *
 * <p>Implementations aren't safe for concurrent use.
 */
public interface LoadBudget {
    /**
     * Takes a permit for one load, which counts as in transit until released.
     *
     * @param now the monotonic time in nanoseconds
     * @return true if the load may begin now
     */
    boolean tryTake(long now);

    /**
     * Tells that a load has ended, whether or not it succeeded.
     *
     * @param now the monotonic time in nanoseconds
     */
    void release(long now);
}
