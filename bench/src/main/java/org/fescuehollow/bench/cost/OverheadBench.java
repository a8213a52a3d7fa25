package org.fescuehollow.bench.cost;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import org.fescuehollow.server.FescuehollowServer;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.standins.Deployment;
import org.fescuehollow.standins.EngineOptions;

/**
 * Measures the latency that an entry process adds to the first token and between tokens, over
 * loopback.
 *
 * <p>For each request rate, the engine stand-in is called directly and then through the entry
 * process, in the same run. Not safe for concurrent use.
 */
public final class OverheadBench {
    private static final int PROMPT_WORDS = 230;
    private static final int SECONDS_PER_RUN = 10;
    private static final long TOKEN_MILLIS = 10;
    private static final List<Double> REQUESTS_PER_SECOND = List.of(9.0, 90.0);
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private final PrintStream mOut;

    /**
     * Creates the benchmark.
     *
     * @param out receives the table
     */
    public OverheadBench(PrintStream out) {
        mOut = out;
    }

    /** Runs all measurements and prints a table. */
    public void run() {
        EngineOptions options = new EngineOptions(8, TOKEN_MILLIS, false);
        try (Deployment deployment = Deployment.open(1, options, 50)) {
            deployment
                    .settings()
                    .publish(
                            "services/assistants",
                            "kind: model\nslots: 8\nbatch: 1000\nqueue: 1000\n");
            FescuehollowServer server =
                    FescuehollowServer.of(NodeConfig.parse("bench", deployment.nodeYaml()));
            server.start();
            Vertx vertx = Vertx.vertx();
            try {
                measure(vertx, server, deployment);
            } finally {
                server.stop();
                vertx.close().toCompletionStage().toCompletableFuture().join();
            }
        }
    }

    private void measure(Vertx vertx, FescuehollowServer server, Deployment deployment) {
        int enginePort = deployment.engines().get(0).port();
        awaitAdapter(vertx, server.callersPort());
        mOut.printf(
                "%-9s %-8s %6s %6s %24s %26s %10s%n",
                "rate/s",
                "way",
                "calls",
                "broken",
                "first ms p50/p95/p99",
                "between ms p50/p95/p99",
                "CPU share");
        for (double rate : REQUESTS_PER_SECOND) {
            measureRow(rate, "direct", vertx, enginePort);
            measureRow(rate, "through", vertx, server.callersPort());
        }
        Runtime r = Runtime.getRuntime();
        System.gc();
        mOut.printf(
                Locale.ROOT,
                "heap in use after the runs, stand-ins included: %.0f MB%n",
                (r.totalMemory() - r.freeMemory()) / BYTES_PER_MEGABYTE);
    }

    private static void awaitAdapter(Vertx vertx, int port) {
        for (int i = 0; i < 50; i++) {
            if (new StreamLoad(vertx, port, 2).run(20, 1).broken() == 0) {
                return;
            }
        }
        throw new IllegalStateException(
                "expected a complete response through the entry process, got none");
    }

    private void measureRow(double rate, String route, Vertx vertx, int port) {
        long cpuNanos = processCpuNanos();
        long startNanos = System.nanoTime();
        StreamLatencies latencies =
                new StreamLoad(vertx, port, PROMPT_WORDS).run(rate, (int) (rate * SECONDS_PER_RUN));
        double cpuShare =
                (double) (processCpuNanos() - cpuNanos) / (System.nanoTime() - startNanos);
        mOut.printf(
                Locale.ROOT,
                "%-9.0f %-8s %6d %6d %8.2f %7.2f %7.2f %10.2f %7.2f %7.2f %10.2f%n",
                rate,
                route,
                latencies.count(),
                latencies.broken(),
                latencies.firstTokenMillis(50),
                latencies.firstTokenMillis(95),
                latencies.firstTokenMillis(99),
                latencies.interTokenMillis(50),
                latencies.interTokenMillis(95),
                latencies.interTokenMillis(99),
                cpuShare);
        mOut.flush();
    }

    private static long processCpuNanos() {
        return ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean.class)
                .getProcessCpuTime();
    }
}
