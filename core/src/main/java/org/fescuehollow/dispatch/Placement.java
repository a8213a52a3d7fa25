package org.fescuehollow.dispatch;

import java.util.Optional;

/**
 * The decision on a request: send it or keep it waiting.
 *
 * <p>Immutable and safe for use by any thread.
 */
public sealed interface Placement {
    /**
     * Returns the engine to send the request to.
     *
     * @return the engine's id; empty if the request waits
     */
    default Optional<String> engineToSend() {
        return this instanceof Send send ? Optional.of(send.engine()) : Optional.empty();
    }

    /**
     * Returns the engine that should load the adapter of the request.
     *
     * @return the engine's id, if any
     */
    Optional<String> loadTarget();

    /**
     * Sends the request to an engine.
     *
     * @param engine the engine's id
     * @param loadTarget an engine that should load a replica, because those that have the adapter
     *     are busy
     */
    record Send(String engine, Optional<String> loadTarget) implements Placement {}

    /**
     * Keeps the request in the queue until the state of the engines changes.
     *
     * @param reason the reason, as written to the log
     * @param loadTarget the engine that should load the request's adapter
     */
    record Wait(Reason reason, Optional<String> loadTarget) implements Placement {}

    /** Why a request waits. */
    enum Reason {
        /** No server of the service is known or available. */
        NO_SERVER,
        /** Servers of the service are in use, but none of the software version it needs. */
        NO_SERVER_OF_VERSION,
        /** It isn't settled yet which software versions the other nodes know to serve. */
        VERSION_UNSETTLED,
        /** All available engines take no more requests of this node now. */
        ENGINES_LIMITED,
        /** No available engine has the adapter loaded. */
        ADAPTER_ABSENT,
        /** All engines that have the adapter are at capacity. */
        ENGINES_FULL
    }
}
