package org.fescuehollow.bench.decision;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fescuehollow.admission.RetryBudget;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.model.VmState;
import org.fescuehollow.routing.AttemptPlan;
import org.fescuehollow.routing.CandidateTable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one routing decision with the engines of today and of two years from now.
 *
 * <p>Run by JMH on one thread.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RoutingBenchmark {
    private static final int ADAPTERS = 11_000;
    private static final int USED_ADAPTERS = 1_024;

    /** Number of engines of the service. */
    @Param({"17", "4700"})
    public int engines;

    private CandidateTable mTable;
    private AdapterRef[] mAdapters;
    private int mNext;

    /** Creates the engines and the adapters in use. */
    @Setup
    public void setUp() {
        mTable =
                new CandidateTable(
                        IntStream.range(0, engines)
                                .mapToObj(
                                        i ->
                                                new Vm(
                                                        "engine-" + i,
                                                        VmRole.ENGINE,
                                                        "svc",
                                                        "d" + i % 5,
                                                        "10.0.0.1",
                                                        1,
                                                        VmState.LIVE))
                                .toList());
        mAdapters =
                IntStream.range(0, USED_ADAPTERS)
                        .mapToObj(i -> new AdapterRef("a" + i * (ADAPTERS / USED_ADAPTERS), "v1"))
                        .toArray(AdapterRef[]::new);
    }

    /**
     * Plans the first attempt of a request.
     *
     * @return the first step
     */
    @Benchmark
    public AttemptPlan.Step decide() {
        AdapterRef adapter = mAdapters[mNext++ & (USED_ADAPTERS - 1)];
        return new AttemptPlan("svc", mTable.candidates(adapter), true, new RetryBudget(0.1, 10))
                .begin();
    }
}
