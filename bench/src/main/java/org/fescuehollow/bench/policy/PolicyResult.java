package org.fescuehollow.bench.policy;

import java.util.List;
import java.util.Locale;

/**
 * The measurements of one simulated run.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param routing the routing strategy, or {@code clairvoyant} for the lower bound
 * @param requests requests that arrived
 * @param stalledShare share of started requests that waited for a load
 * @param p50Millis median time from arrival to start
 * @param p95Millis 95th percentile
 * @param p99Millis 99th percentile
 * @param loads loads started
 * @param batchFill mean batch utilization of busy engines, from 0 to 1
 * @param rejected requests rejected
 * @param mostInTransit maximum number of concurrent loads
 * @param otherTeamsP99Millis 99th percentile for all teams but the first
 * @param interactiveP99Millis 99th percentile for interactive requests
 */
public record PolicyResult(
        String routing,
        int requests,
        double stalledShare,
        double p50Millis,
        double p95Millis,
        double p99Millis,
        long loads,
        double batchFill,
        int rejected,
        int mostInTransit,
        double otherTeamsP99Millis,
        double interactiveP99Millis) {
    /** Column names of a table or CSV file. */
    public static final List<String> COLUMNS =
            List.of(
                    "routing",
                    "requests",
                    "stalled",
                    "p50_ms",
                    "p95_ms",
                    "p99_ms",
                    "loads",
                    "batch_fill",
                    "refused",
                    "in_transit",
                    "rival_p99_ms",
                    "interactive_p99_ms");

    /**
     * Returns the formatted values.
     *
     * @return one value per column
     */
    public List<String> cells() {
        return List.of(
                routing,
                "" + requests,
                format(100 * stalledShare) + "%",
                format(p50Millis),
                format(p95Millis),
                format(p99Millis),
                "" + loads,
                format(100 * batchFill) + "%",
                "" + rejected,
                "" + mostInTransit,
                format(otherTeamsP99Millis),
                format(interactiveP99Millis));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
