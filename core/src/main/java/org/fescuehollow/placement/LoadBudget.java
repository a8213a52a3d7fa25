package org.fescuehollow.placement;

import java.util.Optional;

/**
 * Grants permits to load adapters from the weight store.
 *
 * <p>Implementations aren't safe for concurrent use.
 */
public interface LoadBudget {
    /**
     * Acquires a permit for one load, which counts as in transit until the permit is released. The
     * caller repeats the request for as long as it needs the load; a request that isn't repeated
     * expires.
     *
     * @param now the monotonic time in nanoseconds
     * @param request the load that needs a permit
     * @return the permit, or empty if the load may not begin now
     */
    Optional<Permit> tryAcquire(long now, PermitRequest request);

    /**
     * Releases a permit whose load has ended or won't begin.
     *
     * @param now the monotonic time in nanoseconds
     * @param permit the permit
     */
    void release(long now, Permit permit);
}
