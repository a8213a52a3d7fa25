package org.fescuehollow.placement;

/**
 * The condition under which a coordinator accepts an attempt.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum AdmissionMode {
    /**
     * Accept the attempt only if its adapter is resident or about to be, and the server isn't
     * crowded.
     */
    IF_RESIDENT,
    /**
     * Accept the attempt if its adapter is resident or can be loaded, and the server isn't crowded.
     */
    IF_LOADABLE,
    /** Accept the attempt, or refuse it with a problem, for example because the queue is full. */
    ALWAYS
}
