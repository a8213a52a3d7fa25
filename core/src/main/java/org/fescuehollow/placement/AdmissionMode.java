package org.fescuehollow.placement;

/**
 * How firmly an attempt asks a coordinator to take it.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum AdmissionMode {
    /** Take it only if its adapter is resident or loading, and the server isn't crowded. */
    IF_RESIDENT,
    /** Take it if its adapter can be loaded, and the server isn't crowded. */
    IF_LOADABLE,
    /** Take it, or refuse it for good. */
    ALWAYS
}
