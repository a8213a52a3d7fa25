package org.fescuehollow.residency;

import org.fescuehollow.catalog.AdapterKey;

/**
 * An order to an engine.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param action what to do
 * @param adapter the adapter; without adapter name for the base model itself
 * @param version the version to load; 0 for the newest
 * @param statusQuery true if this only queries whether the same earlier order is done
 */
public record AdapterOrder(Action action, AdapterKey adapter, long version, boolean statusQuery) {
    /** What an order does. */
    public enum Action {
        /** Loads an adapter onto the engine. */
        LOAD,
        /** Unloads an adapter from the engine. */
        UNLOAD
    }
}
