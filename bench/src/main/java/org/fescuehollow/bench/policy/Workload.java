package org.fescuehollow.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;

/** Generates the requests of a scenario from a seed. Stateless and safe for use by any thread. */
public final class Workload {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int SHIFT_RANKS = 1_237;
    private static final int FLOOD_FACTOR = 10;

    private Workload() {}

    /**
     * Generates all requests.
     *
     * @param scenario the scenario
     * @param events disturbances during the run
     * @param seed the seed; the same seed gives the same requests
     * @return requests in order of arrival
     */
    public static List<Request> generate(Scenario scenario, Set<WorkloadEvent> events, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        DiscreteSampler popularity =
                RejectionInversionZipfSampler.of(
                        random, scenario.adapters(), scenario.zipfExponent());
        List<AdapterRef> names =
                IntStream.range(0, scenario.adapters())
                        .mapToObj(i -> new AdapterRef("a" + i, "v1"))
                        .toList();
        List<Request> requests = new ArrayList<>();
        double end = scenario.seconds() * NANOS_PER_SECOND;
        double time = exponential(random, NANOS_PER_SECOND / scenario.requestsPerSecond());
        while (time < end) {
            int rank = popularity.sample() - 1;
            boolean shifted = events.contains(WorkloadEvent.SHIFT) && time > end / 2;
            int adapter = shifted ? (rank + SHIFT_RANKS) % scenario.adapters() : rank;
            int copies = copies(scenario, events, adapter, time > end / 3);
            for (int i = 0; i < copies; i++) {
                requests.add(
                        new Request(
                                requests.size(),
                                (long) time,
                                names.get(adapter),
                                adapter % scenario.teams(),
                                priority(random, scenario),
                                (long) exponential(random, scenario.serviceMillis() * 1e6),
                                random.nextInt(scenario.domains())));
            }
            time += exponential(random, NANOS_PER_SECOND / scenario.requestsPerSecond());
        }
        return requests;
    }

    private static int copies(
            Scenario scenario, Set<WorkloadEvent> events, int adapter, boolean isFloodPeriod) {
        boolean isFlooding =
                events.contains(WorkloadEvent.FLOOD)
                        && isFloodPeriod
                        && adapter % scenario.teams() == 0;
        return isFlooding ? FLOOD_FACTOR : 1;
    }

    private static Priority priority(UniformRandomProvider random, Scenario scenario) {
        return random.nextDouble() < scenario.bulkShare() ? Priority.BULK : Priority.INTERACTIVE;
    }

    private static double exponential(UniformRandomProvider random, double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }
}
