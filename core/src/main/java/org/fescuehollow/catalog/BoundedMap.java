package org.fescuehollow.catalog;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that drops the entry added longest ago once it is full.
 *
 * <p>Invariant: it never holds more entries than its maximum. Not safe for concurrent use.
 *
 * @param <K> the keys' type
 * @param <V> the values' type
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int mMaxEntries;

    /**
     * Creates an empty map.
     *
     * @param maxEntries the number of entries from which on the oldest is dropped
     */
    public BoundedMap(int maxEntries) {
        mMaxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mMaxEntries;
    }
}
