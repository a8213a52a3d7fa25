package org.fescuehollow.placement;

import java.util.Optional;

/**
 * Gives permits to load adapters from the weight store.
 *
 * <p>Implementations aren't safe for concurrent use.
 */
public interface LoadBudget {
    /**
     * Takes a permit for one load, which counts as in transit until released. Ask again while the
     * load is wanted; a want that isn't repeated is forgotten.
     *
     * @param now the monotonic time in nanoseconds
     * @param want the load
     * @return the permit, or empty if the load may not begin now
     */
    Optional<Permit> tryAcquire(long now, PermitRequest want);

    /**
     * Gives a permit back; its load has ended or will not begin.
     *
     * @param now the monotonic time in nanoseconds
     * @param permit the permit
     */
    void release(long now, Permit permit);
}
