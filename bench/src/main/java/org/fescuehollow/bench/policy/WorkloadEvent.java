package org.fescuehollow.bench.policy;

/**
 * Disturbances during a run.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum WorkloadEvent {
    /** Popularity shifts to other adapters after half of the run. */
    SHIFT,
    /** An engine restarts without adapters after a third of the run. */
    ENGINE_RESTART,
    /**
     * The first failure domain is partitioned from the others from one half to two thirds of the
     * run.
     */
    DOMAIN_CUT,
    /** The first team sends ten times its requests after a third of the run. */
    FLOOD
}
