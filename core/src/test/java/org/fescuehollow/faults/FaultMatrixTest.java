package org.fescuehollow.faults;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.fescuehollow.idempotency.Ticket;
import org.fescuehollow.model.AdapterRef;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the invariants of a simulated cluster with each fault at each injection point, and with
 * random pairs of faults.
 */
class FaultMatrixTest {
    private static final long SEED = 20_261_204;
    private static final int CALLS = 800;
    private static final int FAULT_PAIR_RUNS = 120;

    static Stream<Arguments> faultsAtPoints() {
        return Arrays.stream(Fault.values())
                .flatMap(f -> Arrays.stream(InjectionPoint.values()).map(p -> Arguments.of(f, p)));
    }

    @ParameterizedTest
    @MethodSource("faultsAtPoints")
    void invariants_holdUnderEachFaultAtEachPoint(Fault fault, InjectionPoint point) {
        // GIVEN
        SimulatedCluster cluster = new SimulatedCluster(fault, point, SEED);
        // WHEN
        runScenario(cluster);
        // THEN
        thenInvariantsHold(cluster);
        then(cluster.checker().successCount()).isGreaterThan(CALLS * 6 / 10);
        if (fault == Fault.REQUEST_CRASHES_ENGINES) {
            then(cluster.totalEngineCrashes()).isBetween(1, 3);
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariants_holdUnderTwoFaults(long seed) {
        // GIVEN
        Random random = new Random(seed);
        Fault[] faults = Fault.values();
        InjectionPoint[] points = InjectionPoint.values();
        SimulatedCluster cluster =
                new SimulatedCluster(
                                faults[random.nextInt(faults.length)],
                                points[random.nextInt(points.length)],
                                seed)
                        .addFault(
                                faults[random.nextInt(faults.length)],
                                points[random.nextInt(points.length)]);
        // WHEN
        runScenario(cluster);
        // THEN
        thenInvariantsHold(cluster);
    }

    static LongStream seeds() {
        return LongStream.range(SEED, SEED + FAULT_PAIR_RUNS);
    }

    private static void runScenario(SimulatedCluster cluster) {
        cluster.runUntil(10);
        cluster.armFaults();
        scheduleCalls(cluster);
        cluster.schedule(12_000, () -> cluster.stopNodeGracefully(cluster.randomServingNode()));
        cluster.schedule(20_000, () -> cluster.platform().publishSettings());
        cluster.runUntil(60);
        cluster.clearFaults();
        cluster.runUntil(140);
    }

    private static void thenInvariantsHold(SimulatedCluster cluster) {
        cluster.checker().checkAllCallsAnswered(cluster.lostCalls());
        then(cluster.checker().violations()).isEmpty();
        then(cluster.injectedFaultCount())
                .as("number of injected faults (the first may prevent the second)")
                .isPositive();
        then(cluster.nodes()).extracting(SimulatedNode::settingsRevision).containsOnly(2L);
    }

    private static void scheduleCalls(SimulatedCluster cluster) {
        for (int i = 0; i < CALLS; i++) {
            int n = i;
            cluster.schedule(50L * n, () -> sendRandomCall(cluster, n));
        }
    }

    private static void sendRandomCall(SimulatedCluster cluster, int n) {
        AdapterRef adapter = new AdapterRef("a" + cluster.random().nextInt(5), "v1");
        boolean repeatable = cluster.random().nextInt(3) > 0;
        Ticket ticket = cluster.randomServingNode().issueTicket();
        cluster.sendCall(
                new SimulatedCall("c" + n, "k" + n, adapter, repeatable, false, ticket), 2);
    }
}
