package org.fescuehollow.residency;

/** What an engine answered to an order. */
public enum OrderReply {
    /** The order is being carried out. */
    UNDER_WAY,
    /** The order holds. */
    HOLDS,
    /** Another order is in progress, or the count of orders isn't the one expected. */
    CONFLICT,
    /** The engine can't carry out such an order. */
    IMPOSSIBLE,
    /** Another life of the engine answered, or a higher fence was seen. */
    REPLACED,
    /** No answer; the order may have been accepted. */
    UNKNOWN
}
