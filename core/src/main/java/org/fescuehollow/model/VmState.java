package org.fescuehollow.model;

/** Whether a VM accepts new work. Immutable and safe for use by any thread. */
public enum VmState {
    /** The VM accepts new work. */
    LIVE,
    /** The VM finishes its work and then shuts down. */
    LEAVING
}
