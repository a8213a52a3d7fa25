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

class FaultMatrixTest {
    private static final long SEED = 20_261_204;
    private static final int CALLS = 800;
    private static final int FAULT_PAIR_RUNS = 120;

    static Stream<Arguments> cells() {
        return Arrays.stream(Fault.values())
                .flatMap(f -> Arrays.stream(InjectionPoint.values()).map(s -> Arguments.of(f, s)));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void invariants_holdUnderEachFaultAtEachPoint(Fault fault, InjectionPoint step) {
        // GIVEN
        SimulatedCluster w = new SimulatedCluster(fault, step, SEED);
        // WHEN
        runScenario(w);
        // THEN
        thenInvariantsHold(w);
        then(w.checker().successCount()).isGreaterThan(CALLS * 6 / 10);
        if (fault == Fault.REQUEST_CRASHES_ENGINES) {
            then(w.totalEngineCrashes()).isBetween(1, 3);
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariants_holdUnderTwoFaults(long seed) {
        // GIVEN
        Random random = new Random(seed);
        Fault[] faults = Fault.values();
        InjectionPoint[] steps = InjectionPoint.values();
        SimulatedCluster w =
                new SimulatedCluster(
                                faults[random.nextInt(faults.length)],
                                steps[random.nextInt(steps.length)],
                                seed)
                        .addFault(
                                faults[random.nextInt(faults.length)],
                                steps[random.nextInt(steps.length)]);
        // WHEN
        runScenario(w);
        // THEN
        thenInvariantsHold(w);
    }

    static LongStream seeds() {
        return LongStream.range(SEED, SEED + FAULT_PAIR_RUNS);
    }

    private static void runScenario(SimulatedCluster w) {
        w.runUntil(10);
        w.armFaults();
        scheduleCalls(w);
        w.scheduleAfter(12_000, () -> w.stopNodeGracefully(w.randomServingNode()));
        w.scheduleAfter(20_000, () -> w.platform().publishSettings());
        w.runUntil(60);
        w.clearFaults();
        w.runUntil(140);
    }

    private static void thenInvariantsHold(SimulatedCluster w) {
        w.checker().checkAllCallsAnswered(w.lostCalls());
        then(w.checker().violations()).isEmpty();
        then(w.injectedFaultCount())
                .as("a first fault may keep a second from striking")
                .isPositive();
        then(w.nodes()).extracting(SimulatedNode::settingsRevision).containsOnly(2L);
    }

    private static void scheduleCalls(SimulatedCluster w) {
        for (int i = 0; i < CALLS; i++) {
            int n = i;
            w.scheduleAfter(50L * n, () -> sendRandomCall(w, n));
        }
    }

    private static void sendRandomCall(SimulatedCluster w, int n) {
        AdapterRef adapter = new AdapterRef("a" + w.random().nextInt(5), "v1");
        boolean repeatable = w.random().nextInt(3) > 0;
        Ticket ticket = w.randomServingNode().issueTicket();
        w.sendCall(new SimulatedCall("c" + n, "k" + n, adapter, repeatable, false, ticket), 2);
    }
}
