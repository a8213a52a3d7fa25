package org.fescuehollow.server.backend;

/**
 * What became of a load or unload order.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum AdminReply {
    /** The engine has carried it out, or had done so before. */
    DONE,
    /** The engine refused the fencing number. */
    FENCED,
    /** The order failed. */
    FAILED
}
