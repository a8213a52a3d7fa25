package org.fescuehollow.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.fescuehollow.server.FescuehollowServer;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.standins.Deployment;
import org.fescuehollow.standins.EngineOptions;

/**
 * Runs an entry process with stand-ins and sends it example requests.
 *
 * <p>Not safe for concurrent use.
 */
final class DemoCommand {
    private static final int ENGINES = 2;
    private static final long LOAD_MILLIS = 250;
    private static final List<String> MODELS =
            List.of(
                    "care-notes@v1",
                    "care-notes@v1",
                    "care-notes@v2",
                    "profiles@v1",
                    "care-notes@v1",
                    "profiles@v1");

    private final PrintStream mOut;

    DemoCommand(PrintStream out) {
        mOut = out;
    }

    int run(boolean once) {
        try (Deployment deployment =
                Deployment.open(ENGINES, new EngineOptions(2, 5, false), LOAD_MILLIS)) {
            FescuehollowServer server =
                    FescuehollowServer.of(NodeConfig.parse("demo", deployment.nodeYaml()));
            server.start();
            try {
                boolean allCorrect = sendRequests(server);
                if (!once) {
                    serveUntilInterrupted(server);
                }
                return allCorrect ? 0 : 1;
            } finally {
                server.stop();
            }
        }
    }

    private boolean sendRequests(FescuehollowServer server) {
        DemoClient client = new DemoClient(server.callersPort());
        client.awaitReady(server.adminPort());
        mOut.printf("%-16s %-12s %-10s %10s  %s%n", "adapter", "server", "loaded", "waited", "ok");
        boolean allCorrect = true;
        for (int i = 0; i < MODELS.size(); i++) {
            allCorrect &= print(client.complete(MODELS.get(i), "visit number " + i, i % 2 == 1));
        }
        allCorrect &= print(client.executeBooking("book visit 7"));
        allCorrect &= print(client.callUnauthorizedAdapter("answers@v1"));
        return allCorrect;
    }

    private boolean print(DemoResult result) {
        mOut.printf(
                "%-16s %-12s %-10s %7.1f ms  %s%n",
                result.target(),
                result.server(),
                result.adapterStatus(),
                result.waitMicros() / 1_000.0,
                result.isCorrect());
        return result.isCorrect();
    }

    private void serveUntilInterrupted(FescuehollowServer server) {
        String base = "http://127.0.0.1:" + server.callersPort();
        mOut.printf(
                "%nserving at %s, administration API at http://127.0.0.1:%d; stop with"
                        + " Ctrl-C%n",
                base, server.adminPort());
        mOut.printf(
                "export CALLERS=%s OPERATORS=http://127.0.0.1:%d KEY=%s%n",
                base, server.adminPort(), Deployment.RENNES_KEY);
        mOut.flush();
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
