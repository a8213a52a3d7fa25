package org.fescuehollow.drain;

import java.util.Map;
import java.util.OptionalLong;
import org.fescuehollow.catalog.BoundedMap;

/**
 * Estimates how long the requests of each route usually take, from a moving mean and a moving mean
 * deviation, as RFC 6298 does for round trips.
 *
 * <p>Invariant: holds a fixed number of routes at most; the oldest is dropped. Not thread-safe;
 * used on the node's event loop.
 */
public final class ResponseTimes {
    private static final int MAX_ROUTES = 1_000;

    /** Fewer responses than this say little of the next. */
    private static final int MIN_RESPONSES = 8;

    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final int DEVIATIONS = 2;

    /** A moving mean and a moving mean deviation of some responses. */
    private record Estimate(int responses, double mean, double deviation) {
        Estimate with(long nanos) {
            if (responses == 0) {
                return new Estimate(1, nanos, nanos / 2.0);
            }
            double error = nanos - mean;
            return new Estimate(
                    Math.min(MIN_RESPONSES, responses + 1),
                    mean + MEAN_WEIGHT * error,
                    deviation + DEVIATION_WEIGHT * (Math.abs(error) - deviation));
        }
    }

    private final Map<String, Estimate> mEstimates = new BoundedMap<>(MAX_ROUTES);

    /**
     * Records a complete response.
     *
     * @param route the name of its route
     * @param nanos the time from the arrival of the request to the end of the response
     */
    public void record(String route, long nanos) {
        Estimate estimate = mEstimates.getOrDefault(route, new Estimate(0, 0, 0));
        mEstimates.put(route, estimate.with(nanos));
    }

    /**
     * Returns the time within which most requests of a route end.
     *
     * @param route the name of the route
     * @return nanoseconds; empty if too few responses were recorded
     */
    public OptionalLong usualNanos(String route) {
        Estimate estimate = mEstimates.get(route);
        if (estimate == null || estimate.responses() < MIN_RESPONSES) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((long) (estimate.mean() + DEVIATIONS * estimate.deviation()));
    }
}
