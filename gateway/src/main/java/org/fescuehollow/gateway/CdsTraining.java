package org.fescuehollow.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.platform.ConfigurationCodec;
import org.fescuehollow.platform.EngineCodec;

/**
 * Runs a node on the loopback address for a moment, so that the build can archive the classes that
 * a start loads; a process that uses the archive starts in about half the time.
 *
 * <p>Stateless; used by the build only.
 */
final class CdsTraining {
    /** Enough for the first messages, failed reads of the store and periodic work. */
    private static final long RUN_MILLIS = 1_500;

    private CdsTraining() {}

    /** Starts a node, sends it a request, reads sample documents, and stops it. */
    static void run() throws InterruptedException {
        int callers = freePort();
        EntryNode node = new EntryNode(NodeSettings.parse(settings(callers)));
        node.start();
        ConfigurationCodec.decode(resource("configuration.json"));
        EngineCodec.decodeEntry("engine", resource("engine.json"));
        EngineCodec.decodeReport(resource("report.json"));
        Vertx vertx = Vertx.vertx();
        vertx.createHttpClient()
                .request(HttpMethod.POST, callers, "127.0.0.1", "/training/")
                .compose(HttpClientRequest::send)
                .onFailure(e -> System.err.println("training request failed: " + e));
        TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
        vertx.close().toCompletionStage().toCompletableFuture().join();
        node.stop();
    }

    private static int freePort() {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("expected a free port on the loopback address", e);
        }
    }

    private static String settings(int callers) {
        return resource("settings.json")
                .replace("CALLERS", Integer.toString(callers))
                .replace("READINESS", Integer.toString(freePort()))
                .replace("EXCHANGE", Integer.toString(freePort()));
    }

    private static String resource(String name) {
        try (InputStream in = CdsTraining.class.getResourceAsStream("/training/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("expected resource " + name, e);
        }
    }
}
