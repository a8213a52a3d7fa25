package org.fescuehollow.settings;

/**
 * How a service's engines handle the fencing number of an order. Immutable and safe for use by any
 * thread.
 */
public enum FencingSupport {
    /** The engine refuses an order with a lower fencing number than one it has seen. */
    CHECKED,
    /**
     * The engine ignores fencing numbers, so a new coordinator has to wait before its first
     * eviction.
     */
    IGNORED
}
