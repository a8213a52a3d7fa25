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
 * Training run for the class data sharing (CDS) archive: runs a node on the loopback address for a
 * moment, so that the build can archive the classes loaded at startup. A process that uses the
 * archive starts in about half the time.
 *
 * <p>Stateless; used by the build only.
 */
final class CdsTraining {
    /** Long enough for the first messages, failed reads of the store and periodic tasks. */
    private static final long RUN_MILLIS = 1_500;

    private CdsTraining() {}

    /** Starts a node, sends it a request, decodes sample documents and stops the node. */
    static void run() throws InterruptedException {
        int listenPort = freePort();
        EntryNode node = new EntryNode(NodeSettings.parse(settings(listenPort)));
        node.start();
        ConfigurationCodec.decode(resource("configuration.json"));
        EngineCodec.decodeEntry("engine", resource("engine.json"));
        EngineCodec.decodeReport(resource("report.json"));
        Vertx vertx = Vertx.vertx();
        vertx.createHttpClient()
                .request(HttpMethod.POST, listenPort, "127.0.0.1", "/training/")
                .compose(HttpClientRequest::send)
                .onFailure(e -> System.err.println("training request failed: " + e));
        TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
        vertx.close().toCompletionStage().toCompletableFuture().join();
        node.stop();
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("no free port on the loopback address", e);
        }
    }

    private static String settings(int listenPort) {
        return resource("settings.json")
                .replace("CALLERS", Integer.toString(listenPort))
                .replace("READINESS", Integer.toString(freePort()))
                .replace("EXCHANGE", Integer.toString(freePort()));
    }

    private static String resource(String name) {
        try (InputStream in = CdsTraining.class.getResourceAsStream("/training/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read resource " + name, e);
        }
    }
}
