package org.fescuehollow.residency;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;

/**
 * What the holder of an engine says of it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param fence the fencing number of its reign
 * @param adapters the adapters that are ready, with their versions
 * @param coming the adapters on their way to it
 * @param inTransit how many of these come from the weight store
 * @param spare how many more it could load now; negative if more are wanted than fit
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
     * Returns this word without an adapter that is about to leave or was refused.
     *
     * @param adapter the adapter
     * @return the new word
     */
    public Holding without(AdapterKey adapter) {
        Map<AdapterKey, Long> rest = new HashMap<>(adapters);
        rest.remove(adapter);
        return new Holding(fence, rest, coming, inTransit, spare);
    }

    /**
     * Returns this word after one more adapter was asked for.
     *
     * @return the new word
     */
    public Holding withOneLessSpare() {
        return new Holding(fence, adapters, coming, inTransit, spare - 1);
    }
}
