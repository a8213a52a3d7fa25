package org.fescuehollow.model;

/** Role of the process that a VM runs. Immutable and safe for use by any thread. */
public enum VmRole {
    /** An entry node of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A backend server of a plain service. */
    SERVICE
}
