package org.fescuehollow.placement;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.model.AdapterRef;

/**
 * The state that a backend server reports, which may be out of date on arrival.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param incarnation differs after each restart of the server
 * @param runningByAdapter the number of requests that use each resident adapter, zero for an idle
 *     adapter
 * @param highestFencing the highest fencing number the server has seen; zero if it ignores fencing
 *     numbers
 */
public record EngineReport(
        String incarnation, SortedMap<AdapterRef, Integer> runningByAdapter, long highestFencing) {
    /** Creates the report with a copy of the map. */
    public EngineReport {
        runningByAdapter = Collections.unmodifiableSortedMap(new TreeMap<>(runningByAdapter));
    }
}
