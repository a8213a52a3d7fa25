package org.fescuehollow.settings;

/** What a service's engines do with the fencing number of an order. Immutable, thread-safe. */
public enum FencingSupport {
    /** An order with a number lower than one seen before is refused. */
    CHECKED,
    /** The number is ignored, so that a new coordinator has to wait before it evicts. */
    IGNORED
}
