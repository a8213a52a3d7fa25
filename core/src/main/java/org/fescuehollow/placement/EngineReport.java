package org.fescuehollow.placement;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.model.AdapterRef;

/**
 * What a backend server says of itself, late.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param incarnation differs after each restart of the server
 * @param runningByAdapter how many requests use each resident adapter; zero for idle ones
 * @param highestFencing the highest fencing number the server has seen; zero if it ignores them
 */
public record EngineReport(
        String incarnation, SortedMap<AdapterRef, Integer> runningByAdapter, long highestFencing) {
    /** Creates the report from a copy. */
    public EngineReport {
        runningByAdapter = Collections.unmodifiableSortedMap(new TreeMap<>(runningByAdapter));
    }
}
