package org.fescuehollow.placement;

import org.fescuehollow.error.Problem;
import org.fescuehollow.model.AdapterRef;

/**
 * What a coordinator tells its surroundings to do.
 *
 * <p>Each order is carried out once, in the order given. Immutable and safe for use by any thread.
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
     * @param waitedNanos how long it waited in all, in nanoseconds
     * @param stalled true if it waited for its adapter to load
     */
    record Start(AttemptSpec attempt, long waitedNanos, boolean stalled) implements Order {}

    /**
     * Refuse an attempt that never left this node.
     *
     * @param attempt the attempt
     * @param problem the reason, always with {@code NOT_RUN}
     */
    record Refuse(AttemptSpec attempt, Problem problem) implements Order {}

    /**
     * Decline an attempt, which may go elsewhere.
     *
     * @param attempt the attempt
     * @param quote what taking it would cost here
     */
    record Decline(AttemptSpec attempt, Quote quote) implements Order {}

    /**
     * Show the engine this coordinator's fencing number, by an order that changes nothing.
     *
     * @param adapter an adapter that is resident
     * @param fencingNumber the fencing number
     */
    record Claim(AdapterRef adapter, long fencingNumber) implements Order {}

    /** Ask the engine which adapters it holds and what it runs. */
    record RequestReport() implements Order {}
}
