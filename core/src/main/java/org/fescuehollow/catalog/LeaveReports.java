package org.fescuehollow.catalog;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The engines that other nodes report to be draining or gone, until this node reads that itself.
 *
 * <p>Load pattern: engines are replaced under load while each node of a large fleet reads the
 * engines rarely. The node that reads a change first tells the others, so that all stop using the
 * engine. A report only takes an engine out of use: one that isn't confirmed is dropped.
 *
 * <p>Not safe for concurrent use.
 */
public final class LeaveReports {
    private final Map<String, Report> mReports = new HashMap<>();

    /** A reported engine as this node read it before. */
    private record Report(Engine engine, long receivedNanos) {}

    /**
     * Adds the report that an engine is leaving.
     *
     * @param engine the engine as this node read it
     * @param now the monotonic time in nanoseconds
     */
    public void add(Engine engine, long now) {
        mReports.putIfAbsent(engine.id(), new Report(engine, now));
    }

    /**
     * Returns whether an engine is reported to be leaving.
     *
     * @param engine the engine's id
     * @return true until this node reads the engine or drops the report
     */
    public boolean contains(String engine) {
        return mReports.containsKey(engine);
    }

    /**
     * Drops the report of an engine that this node has read now.
     *
     * @param engine the engine's id
     */
    public void onRead(String engine) {
        mReports.remove(engine);
    }

    /**
     * Removes reports that this node should have read itself by now.
     *
     * @param readTime the time within which this node reads a change
     * @param now the monotonic time in nanoseconds
     * @return the engines that aren't leaving, as this node read them
     */
    public List<Engine> removeOlderThan(Duration readTime, long now) {
        List<Engine> engines =
                mReports.values().stream()
                        .filter(r -> now - r.receivedNanos() >= readTime.toNanos())
                        .map(Report::engine)
                        .toList();
        engines.forEach(e -> mReports.remove(e.id()));
        return engines;
    }
}
