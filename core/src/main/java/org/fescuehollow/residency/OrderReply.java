package org.fescuehollow.residency;

/** An engine's reply to an order. */
public enum OrderReply {
    /** The order is being carried out. */
    UNDER_WAY,
    /** The order is done. */
    HOLDS,
    /** Another order is in progress, or the order count isn't the expected one. */
    CONFLICT,
    /** The engine can't carry out this order. */
    IMPOSSIBLE,
    /** Another incarnation of the engine replied, or it saw a higher fencing number. */
    REPLACED,
    /** No reply; the order may have been accepted. */
    UNKNOWN
}
