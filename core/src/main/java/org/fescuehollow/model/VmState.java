package org.fescuehollow.model;

/** Whether a VM stays. Immutable and safe for use by any thread. */
public enum VmState {
    /** The VM takes new work. */
    LIVE,
    /** The VM finishes its work and goes. */
    LEAVING
}
