package org.fescuehollow.gateway.store;

import java.util.Optional;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StoreKeys;

/**
 * An entry under the prefix of the engines, or its removal.
 *
 * <p>Immutable.
 *
 * @param item the entry as the store holds it
 * @param engine the engine; empty if the entry was removed or names none that can be read
 */
record EngineEntry(StoreItem item, Optional<Engine> engine) {
    /** Returns the engine's id. */
    String id() {
        return item.key().substring(StoreKeys.ENGINES.length());
    }
}
