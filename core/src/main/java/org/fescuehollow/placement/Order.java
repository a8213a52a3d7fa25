package org.fescuehollow.placement;

import org.fescuehollow.error.Problem;
import org.fescuehollow.model.AdapterRef;

/**
 * An order that a coordinator returns to its caller.
 *
 * <p>The caller carries out each order once, in the sequence of the list. Immutable and safe for
 * use by any thread.
 */
public sealed interface Order {
    /**
     * Load an adapter into the engine.
     *
     * @param adapter the adapter
     * @param fencingNumber the fencing number to send with the order
     */
    record Load(AdapterRef adapter, long fencingNumber) implements Order {}

    /**
     * Unload an adapter that no request uses.
     *
     * @param adapter the adapter
     * @param fencingNumber the fencing number to send with the order
     */
    record Unload(AdapterRef adapter, long fencingNumber) implements Order {}

    /**
     * Send an attempt to the backend server; its adapter is resident and pinned.
     *
     * @param attempt the attempt
     * @param waitedNanos how long it waited from its arrival to its start, in nanoseconds
     * @param stalled true if it waited for its adapter to load
     */
    record Start(AttemptSpec attempt, long waitedNanos, boolean stalled) implements Order {}

    /**
     * Refuse an attempt that wasn't sent to the backend server.
     *
     * @param attempt the attempt
     * @param problem the reason, always with {@code NOT_RUN}
     */
    record Refuse(AttemptSpec attempt, Problem problem) implements Order {}

    /**
     * Decline an attempt, which may be submitted to another backend server.
     *
     * @param attempt the attempt
     * @param quote the cost of accepting it here
     */
    record Decline(AttemptSpec attempt, Quote quote) implements Order {}

    /**
     * Send the engine this coordinator's fencing number with an order that changes nothing, so that
     * it refuses orders of earlier coordinators.
     *
     * @param adapter a resident adapter
     * @param fencingNumber the fencing number
     */
    record Claim(AdapterRef adapter, long fencingNumber) implements Order {}

    /** Request a report of the adapters the engine holds and the requests it runs. */
    record RequestReport() implements Order {}
}
