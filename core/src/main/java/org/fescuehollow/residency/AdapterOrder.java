package org.fescuehollow.residency;

import org.fescuehollow.catalog.AdapterKey;

/**
 * An order to an engine.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param action what to do
 * @param adapter with which adapter
 * @param version the version to load; 0 for the newest
 * @param statusQuery true if the order only asks whether an earlier one is done
 */
public record AdapterOrder(Action action, AdapterKey adapter, long version, boolean statusQuery) {
    /** What an order does. */
    public enum Action {
        /** Brings an adapter onto the engine. */
        LOAD,
        /** Takes it off. */
        UNLOAD
    }
}
