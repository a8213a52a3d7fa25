package org.fescuehollow.model;

/** What a VM runs. Immutable and safe for use by any thread. */
public enum VmRole {
    /** A process of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service's process. */
    SERVICE
}
