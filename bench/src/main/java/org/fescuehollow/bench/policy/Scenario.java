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
 * @param engines engines, dealt over the domains
 * @param slots adapter slots of an engine
 * @param batch requests that an engine runs at once
 * @param adapters adapters, the first the most popular
 * @param zipfExponent exponent of the popularity
 * @param requestsPerSecond mean arrival rate
 * @param serviceMillis mean time of a request on an engine
 * @param loadsPerSecond the weight store's rate
 * @param inTransit the store's loads in transit
 * @param seconds virtual time of the run
 * @param teams teams, each with an equal share of requests
 * @param bulkShare share of requests that are bulk work
 * @param weighting how stalls and batches are weighed
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
    /** The consortium of today. */
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

    /** The association of today. */
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

    /** The size expected in two years; the store is taken to grow with the engines. */
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
     * Returns this scenario with another share of bulk work at the same rate of other work.
     *
     * @param share from zero, below one
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
