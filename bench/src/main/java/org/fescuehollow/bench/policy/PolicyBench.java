package org.fescuehollow.bench.policy;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Runs the placement policy under load in virtual time and compares it with simpler strategies on
 * the same requests.
 *
 * <p>Not safe for concurrent use.
 */
public final class PolicyBench {
    private static final long SEED = 20_261_204;

    private final PrintStream mOut;

    /**
     * Creates the benchmark.
     *
     * @param out receives the tables
     */
    public PolicyBench(PrintStream out) {
        mOut = out;
    }

    /**
     * Runs a scenario with all routing strategies.
     *
     * @param s the scenario
     * @param events disturbances during the run
     * @return the results, with the lower bound of loads last
     */
    public List<PolicyResult> run(Scenario s, Set<WorkloadEvent> events) {
        List<Request> requests = Workload.generate(s, events, SEED);
        List<PolicyResult> results =
                Arrays.stream(RoutingStrategy.values())
                        .parallel()
                        .map(routing -> new SimulatedFleet(s, routing).run(requests, events))
                        .collect(Collectors.toCollection(ArrayList::new));
        results.add(bound(requests, s));
        print(s, events, results);
        return results;
    }

    /**
     * Runs a scenario with this project's routing strategy.
     *
     * @param s the scenario
     * @param events disturbances during the run
     * @return the result
     */
    public PolicyResult runOwn(Scenario s, Set<WorkloadEvent> events) {
        return new SimulatedFleet(s, RoutingStrategy.FESCUEHOLLOW)
                .run(Workload.generate(s, events, SEED), events);
    }

    private static PolicyResult bound(List<Request> requests, Scenario s) {
        long loads = OptimalEviction.minLoads(requests, s.engines() * s.slots());
        return new PolicyResult("clairvoyant", requests.size(), 0, 0, 0, 0, loads, 0, 0, 0, 0, 0);
    }

    private void print(Scenario s, Set<WorkloadEvent> events, List<PolicyResult> results) {
        mOut.printf("%n%s, %d s, events %s%n", s.name(), s.seconds(), events);
        printRow(PolicyResult.COLUMNS);
        results.forEach(r -> printRow(r.cells()));
        mOut.flush();
    }

    private void printRow(List<String> cells) {
        mOut.println(
                cells.stream()
                        .map(c -> String.format("%-13s", c))
                        .collect(Collectors.joining(" ")));
    }

    /** Runs all scenarios of today and the size expected in two years. */
    public void runAll() {
        runToday();
        run(Scenario.TWO_YEARS, EnumSet.of(WorkloadEvent.SHIFT, WorkloadEvent.ENGINE_RESTART));
    }

    /**
     * Runs both current deployments: popularity shift with an engine restart, a partitioned failure
     * domain, one team that floods, and bulk requests beside interactive ones.
     */
    public void runToday() {
        Set<WorkloadEvent> defaultEvents =
                EnumSet.of(WorkloadEvent.SHIFT, WorkloadEvent.ENGINE_RESTART);
        for (Scenario s : List.of(Scenario.CONSORTIUM, Scenario.ASSOCIATION)) {
            run(s, defaultEvents);
            run(s, EnumSet.of(WorkloadEvent.DOMAIN_CUT));
            compareFlood(s);
        }
        compareBulkShares();
    }

    private void compareFlood(Scenario s) {
        PolicyResult baseline = runOwn(s, EnumSet.noneOf(WorkloadEvent.class));
        PolicyResult flood = runOwn(s, EnumSet.of(WorkloadEvent.FLOOD));
        mOut.printf(
                "%n%s, one team sends ten times its requests: other teams' p99 %.1f ms, without"
                        + " %.1f ms%n",
                s.name(), flood.otherTeamsP99Millis(), baseline.otherTeamsP99Millis());
    }

    private void compareBulkShares() {
        PolicyResult without = runOwn(Scenario.ASSOCIATION.withBulkShare(0), Set.of());
        PolicyResult with = runOwn(Scenario.ASSOCIATION, Set.of());
        mOut.printf(
                "%nassociation, bulk beside interactive requests: interactive p99 %.1f ms,"
                        + " without bulk requests %.1f ms%n",
                with.interactiveP99Millis(), without.interactiveP99Millis());
    }
}
