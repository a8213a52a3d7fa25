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
     * @param fencing the fencing number to send with the order
     */
    record Load(AdapterRef adapter, long fencing) implements Order {}

    /**
     * Unload an adapter that no request uses.
     *
     * @param adapter the adapter
     * @param fencing the fencing number to send with the order
     */
    record Unload(AdapterRef adapter, long fencing) implements Order {}

    /**
     * Send an attempt to the backend server; its adapter is resident and pinned.
     *
     * @param work the attempt
     * @param waitedNanos how long it waited in all, in nanoseconds
     * @param stalled true if it waited for its adapter to load
     */
    record Start(Work work, long waitedNanos, boolean stalled) implements Order {}

    /**
     * Refuse an attempt that never left this node.
     *
     * @param work the attempt
     * @param problem the reason, always with {@code NOT_RUN}
     */
    record Refuse(Work work, Problem problem) implements Order {}

    /**
     * Decline an attempt, which may go elsewhere.
     *
     * @param work the attempt
     * @param quote what taking it would cost here
     */
    record Decline(Work work, Quote quote) implements Order {}

    /**
     * Show the engine this coordinator's fencing number, by an order that changes nothing.
     *
     * @param adapter an adapter that is resident
     * @param fencing the fencing number
     */
    record Claim(AdapterRef adapter, long fencing) implements Order {}

    /** Ask the engine which adapters it holds and what it runs. */
    record Inspect() implements Order {}
}
