package org.fescuehollow.bench.policy;

/**
 * What happens during a run besides arrivals.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum WorkloadEvent {
    /** Popularity shifts to other adapters half way. */
    SHIFT,
    /** An engine restarts empty at a third. */
    ENGINE_RESTART,
    /** The first failure domain is cut off from a half to two thirds. */
    DOMAIN_CUT,
    /** The first team sends ten times its share from a third on. */
    FLOOD
}
