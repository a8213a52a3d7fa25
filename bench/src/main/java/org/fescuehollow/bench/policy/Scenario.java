package org.fescuehollow.bench.policy;

import org.fescuehollow.settings.Weighting;

/**
 * One workload for the policy benchmark.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name a short name
 * @param domains failure domains
 * @param nodes entry nodes
 * @param engines engines, spread evenly over the domains
 * @param slots adapter slots of an engine
 * @param batch maximum requests that an engine runs concurrently
 * @param adapters adapters, in descending order of popularity
 * @param zipfExponent exponent of the Zipf distribution of popularity
 * @param requestsPerSecond mean arrival rate
 * @param serviceMillis mean run time of a request on an engine, in milliseconds
 * @param loadsPerSecond load rate limit of the weight store
 * @param inTransit concurrent loads that the store serves at full speed
 * @param seconds duration in virtual seconds
 * @param teams teams, each with an equal share of requests
 * @param bulkShare share of requests with bulk priority, from 0 to 1
 * @param weighting weighting of stalls against batch utilization
 */
public record Scenario(
        String name,
        int domains,
        int nodes,
        int engines,
        int slots,
        int batch,
        int adapters,
        double zipfExponent,
        double requestsPerSecond,
        double serviceMillis,
        double loadsPerSecond,
        int inTransit,
        int seconds,
        int teams,
        double bulkShare,
        Weighting weighting) {
    /** The current deployment of the consortium. */
    public static final Scenario CONSORTIUM =
            new Scenario(
                    "consortium",
                    4,
                    8,
                    13,
                    16,
                    16,
                    3_000,
                    1.0,
                    8,
                    3_000,
                    4,
                    8,
                    600,
                    6,
                    0.3,
                    Weighting.STALLS_FIRST);

    /** The current deployment of the association. */
    public static final Scenario ASSOCIATION =
            new Scenario(
                    "association",
                    4,
                    9,
                    6,
                    16,
                    16,
                    3_000,
                    1.0,
                    3,
                    3_000,
                    2,
                    8,
                    600,
                    6,
                    0.4,
                    Weighting.BATCHES_FIRST);

    /** The size expected in two years; the store is assumed to grow with the engines. */
    public static final Scenario TWO_YEARS =
            new Scenario(
                    "two-years",
                    5,
                    410,
                    4_700,
                    16,
                    16,
                    11_000,
                    1.0,
                    3_700,
                    6_400,
                    400,
                    800,
                    120,
                    50,
                    0.3,
                    Weighting.STALLS_FIRST);

    /**
     * Returns this scenario with another bulk share and the same rate of interactive requests.
     *
     * @param share from 0 inclusive to 1 exclusive
     * @return the new scenario
     */
    public Scenario withBulkShare(double share) {
        double rate = requestsPerSecond * (1 - bulkShare) / (1 - share);
        return new Scenario(
                name,
                domains,
                nodes,
                engines,
                slots,
                batch,
                adapters,
                zipfExponent,
                rate,
                serviceMillis,
                loadsPerSecond,
                inTransit,
                seconds,
                teams,
                share,
                weighting);
    }
}
