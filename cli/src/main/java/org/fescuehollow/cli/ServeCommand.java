package org.fescuehollow.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.fescuehollow.server.FescuehollowServer;
import org.fescuehollow.server.config.NodeConfig;

/**
 * Runs an entry process and drains it on shutdown.
 *
 * <p>Not safe for concurrent use.
 */
final class ServeCommand {
    private final PrintStream mOut;

    ServeCommand(PrintStream out) {
        mOut = out;
    }

    int run(String file) {
        NodeConfig config = NodeConfig.parse(file, SettingsFile.read(Path.of(file)));
        FescuehollowServer server = FescuehollowServer.of(config);
        server.start();
        mOut.printf(
                "callers http://%s:%d  operators http://%s:%d%n",
                config.callers().host(),
                server.callersPort(),
                config.admin().host(),
                server.adminPort());
        mOut.flush();
        Runtime.getRuntime().addShutdownHook(new Thread(server::drainAndStop, "planned-stop"));
        waitForever();
        return 0;
    }

    private static void waitForever() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
