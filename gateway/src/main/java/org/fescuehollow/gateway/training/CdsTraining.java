package org.fescuehollow.gateway.training;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.gateway.EntryNode;
import org.fescuehollow.gateway.node.NodeSettings;

/**
 * Training run for the class data sharing (CDS) archive: two nodes on loopback addresses serve
 * requests at a server that stands for the platform, so that the build can archive the classes and
 * lambdas of the whole request path. A process without them links each at its first use, which
 * takes more processor time than the start itself.
 *
 * <p>Stateless; used by the build only.
 */
public final class CdsTraining {
    /** Longest wait until the nodes know each other and one of them gives the engine orders. */
    private static final long MAX_SETTLE_MILLIS = 30_000;

    private static final long POLL_MILLIS = 50;

    /** Time between two rounds of requests; some of them run into their time limit. */
    private static final long ROUND_MILLIS = 1_000;

    private static final int ROUNDS = 2;

    private CdsTraining() {}

    /**
     * Starts the nodes, sends them requests and stops them.
     *
     * @throws InterruptedException if a wait is interrupted
     */
    public static void run() throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        CannedServer server = new CannedServer(vertx);
        String settings =
                TrainingResources.read("settings.json")
                        .replace("STORE", Integer.toString(server.port()))
                        .replace("READINESS", Integer.toString(freePort()))
                        .replace("EXCHANGE", Integer.toString(freePort()));
        int listenPort = freePort();
        settings = settings.replace("CALLERS", Integer.toString(listenPort));
        EntryNode first = new EntryNode(NodeSettings.parse(settings.replace("NODE", "1")));
        EntryNode second = new EntryNode(NodeSettings.parse(settings.replace("NODE", "2")));
        first.start();
        second.start();
        awaitOrder(server);
        HttpClient client = vertx.createHttpClient();
        for (int i = 0; i < ROUNDS; i++) {
            sendRequests(client, listenPort, i);
            TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS);
        }
        vertx.close().toCompletionStage().toCompletableFuture().join();
        first.stop();
        second.stop();
    }

    private static void awaitOrder(CannedServer server) throws InterruptedException {
        for (long t = 0; server.orders() == 0; t += POLL_MILLIS) {
            if (t > MAX_SETTLE_MILLIS) {
                System.err.println("training: no order was given; the archive lacks their classes");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static void sendRequests(HttpClient client, int port, int round) {
        JsonArray requests = new JsonArray(TrainingResources.read("requests.json"));
        for (int i = 0; i < requests.size(); i++) {
            JsonObject request = requests.getJsonObject(i);
            String id = "training-" + round + "-" + i;
            client.request(HttpMethod.POST, port, "127.0.0.1", request.getString("path"))
                    .compose(r -> send(r, request.getJsonObject("headers"), id))
                    .compose(HttpClientResponse::body)
                    .onFailure(e -> System.err.println("training request failed: " + e));
        }
    }

    private static Future<HttpClientResponse> send(
            HttpClientRequest request, JsonObject headers, String id) {
        headers.forEach(
                h -> request.putHeader(h.getKey(), h.getValue().toString().replace("ID", id)));
        return request.send("body");
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("no free port on the loopback address", e);
        }
    }
}
