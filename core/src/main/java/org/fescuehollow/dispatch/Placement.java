package org.fescuehollow.dispatch;

import java.util.Optional;

/**
 * What to do with a request now.
 *
 * <p>Immutable and safe for use by any thread.
 */
public sealed interface Placement {
    /**
     * Send it to an engine.
     *
     * @param engine the engine's id
     * @param loadTarget an engine that should load the adapter too, as those that have it are busy
     */
    record Send(String engine, Optional<String> loadTarget) implements Placement {}

    /**
     * Keep it until something changes.
     *
     * @param reason a fixed word for the log
     * @param loadTarget the engine that should load its adapter
     */
    record Wait(Reason reason, Optional<String> loadTarget) implements Placement {}

    /** Why a request waits. */
    enum Reason {
        /** No server of the service is known or reachable. */
        NO_SERVER,
        /** No engine has the adapter. */
        ADAPTER_ABSENT,
        /** All engines that have the adapter are full. */
        ENGINES_FULL
    }
}
