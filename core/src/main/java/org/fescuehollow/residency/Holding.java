package org.fescuehollow.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;

/**
 * The state of an engine as its holder tells it to the other nodes.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param fence the fencing number of the holder's lease
 * @param adapters the loaded adapters with their versions
 * @param coming the adapters that are being loaded
 * @param inTransit how many of these are loaded from the weight store
 * @param spare how many more adapters it could load now; negative if demand exceeds the slots
 */
public record Holding(
        long fence,
        Map<AdapterKey, Long> adapters,
        Set<AdapterKey> coming,
        int inTransit,
        int spare) {
    /** Copies the collections. */
    public Holding {
        adapters = Map.copyOf(adapters);
        coming = Set.copyOf(coming);
    }

    /**
     * Returns a copy without an adapter that is being unloaded or was found missing.
     *
     * @param adapter the adapter
     * @return the copy
     */
    public Holding without(AdapterKey adapter) {
        Map<AdapterKey, Long> remaining = new HashMap<>(adapters);
        remaining.remove(adapter);
        return new Holding(fence, remaining, coming, inTransit, spare);
    }

    /**
     * Returns a copy with one less spare slot, after one more adapter was requested.
     *
     * @return the copy
     */
    public Holding withOneLessSpare() {
        return new Holding(fence, adapters, coming, inTransit, spare - 1);
    }
}
