package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.EntryNode;
import org.fescuehollow.gateway.node.NodeSettings;

/** A key-value store, servers and entry nodes on loopback addresses. */
public final class TestCluster implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(TestCluster.class.getName());
    private static final int MAX_NODES = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    /**
     * Longer than the timeout of tests, so that no test passes only because the deadline ended a
     * request.
     */
    private static final int DEADLINE_MILLIS = 120_000;

    private static final int MAX_GAP_MILLIS = 300;

    private final Vertx mVertx = Vertx.vertx();
    private final StoreStandIn mStore = new StoreStandIn(mVertx);
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int mLatencyObjectiveMillis = 15_000;
    private int mTimeoutMillis = DEADLINE_MILLIS;
    private int mMaxStreamAttempts = 2;
    private JsonObject mBounds = new JsonObject();
    private final List<EntryNode> mNodes = new ArrayList<>();
    private final List<EntryProcess> mProcesses = new ArrayList<>();
    private final int mListenPort = FreePorts.find(0);
    private final int mReadinessPort = FreePorts.find(1);
    private final int mExchangePort = FreePorts.find(0);

    public Vertx vertx() {
        return mVertx;
    }

    public StoreStandIn store() {
        return mStore;
    }

    public EngineStandIn addServer(String id, String service) {
        EngineStandIn server = new EngineStandIn(mVertx, id, service);
        mStore.put("servers/" + id, server.entry());
        return server;
    }

    private void register(String id, String service, int port) {
        mStore.put(
                "servers/" + id, EngineStandIn.entry(service, port, EngineStandIn.baseModelOnly()));
    }

    /** Registers a server that sends endless bytes. */
    public EndlessServer addEndlessServer(String id, String service, String responseStart) {
        return addEndlessServer(id, service, EndlessServer.Script.flood(responseStart, "x"));
    }

    /** Registers a server that sends endless bytes. */
    public EndlessServer addEndlessServer(String id, String service, EndlessServer.Script script) {
        EndlessServer server = new EndlessServer(mVertx, script);
        register(id, service, server.port());
        return server;
    }

    /** Registers a server whose responses end with their connections. */
    public UnframedServer addUnframedServer(String id, String service) {
        UnframedServer server = new UnframedServer(mVertx);
        register(id, service, server.port());
        return server;
    }

    /** Registers a server that sends the bytes of a script and closes with FIN. */
    public ScriptedServer addScriptedServer(String id, String service) {
        return addScriptedServer(id, service, false);
    }

    /** Registers a server that sends the bytes of a script; it closes with RST if asked to. */
    public ScriptedServer addScriptedServer(String id, String service, boolean resetsOnClose) {
        ScriptedServer server = new ScriptedServer(mVertx, resetsOnClose);
        register(id, service, server.port());
        return server;
    }

    /** Registers a server that cuts its responses. */
    public CutResponseServer addCutResponseServer(String id, String service) {
        CutResponseServer server = new CutResponseServer();
        register(id, service, server.port());
        return server;
    }

    /** Registers a server that writes earlier refusals once more. */
    public RepeatedRefusalServer addRepeatedRefusalServer(String id, String service) {
        RepeatedRefusalServer server = new RepeatedRefusalServer(mVertx);
        register(id, service, server.port());
        return server;
    }

    /** Registers a server that sends late copies of its responses. */
    public LateCopyServer addLateCopyServer(String id, String service) {
        LateCopyServer server = new LateCopyServer(mVertx);
        register(id, service, server.port());
        return server;
    }

    /**
     * Publishes routes for idempotent and non-idempotent requests, and for streams that may and may
     * not be resumed.
     */
    public void configure(long version) {
        String[] hosts = new String[MAX_NODES];
        Arrays.setAll(hosts, i -> "127.0.0." + (i + 1));
        configureHosts(version, hosts);
    }

    /** Publishes the same routes for some hosts only. */
    public void configureHosts(long version, String... hosts) {
        JsonArray routes = new JsonArray();
        for (String host : hosts) {
            routes.add(route(host, "idempotent", "/read/", "plain", 2))
                    .add(route(host, "non_idempotent", "/pay/", "plain", 1))
                    .add(
                            route(host, "streaming", "/chat/", "llm", mMaxStreamAttempts)
                                    .put("resumable", true))
                    .add(route(host, "streaming", "/talk/", "llm", 1));
        }
        JsonObject engine =
                new JsonObject()
                        .put("slots", 8)
                        .put("kv-capacity", 100_000)
                        .put("adapter-slots", 2)
                        .put("models", new JsonArray().add(new JsonObject().put("name", "m")));
        JsonArray services =
                new JsonArray()
                        .add(new JsonObject().put("name", "plain"))
                        .add(new JsonObject().put("name", "llm").put("engine", engine));
        JsonObject limits =
                new JsonObject()
                        .put("max-header-bytes", 16_384)
                        .put("max-body-bytes", 65_536)
                        .put("idle-timeout-ms", 15_000);
        mStore.put(
                "op/config",
                new JsonObject()
                        .put("version", version)
                        .put("routes", routes)
                        .put("services", services)
                        .put("limits", limits)
                        .encode());
    }

    /** Sets the latency objective of routes that are published from now on. */
    public TestCluster latencyObjective(int millis) {
        mLatencyObjectiveMillis = millis;
        return this;
    }

    /** Sets the timeout of routes that are published from now on. */
    public TestCluster routeTimeout(int millis) {
        mTimeoutMillis = millis;
        return this;
    }

    /** Sets how often streams that may be resumed are run, on routes published from now on. */
    public TestCluster maxStreamAttempts(int attempts) {
        mMaxStreamAttempts = attempts;
        return this;
    }

    /** Sets the bounds in the settings of nodes that are started from now on. */
    public TestCluster bounds(JsonObject bounds) {
        mBounds = bounds;
        return this;
    }

    private JsonObject route(
            String host, String type, String prefix, String service, int attempts) {
        return new JsonObject()
                .put("name", host + prefix)
                .put("host", host)
                .put("prefix", prefix)
                .put("type", type)
                .put("timeout-ms", mTimeoutMillis)
                .put("target-latency-ms", mLatencyObjectiveMillis)
                .put("gap-aim-ms", MAX_GAP_MILLIS)
                .put("service", service)
                .put("max-attempts", attempts);
    }

    /** Starts nodes, which all have the address of the first one as their seed. */
    public void startNodes(int count) {
        for (int i = 0; i < count; i++) {
            EntryNode node = new EntryNode(NodeSettings.parse(settings(i)));
            node.start();
            mNodes.add(node);
        }
        await(() -> IntStream.range(0, count).allMatch(i -> readiness(i) == 200));
    }

    /** Stops all nodes, without a planned stop, and starts as many anew. */
    public void restartNodes() {
        int count = mNodes.size();
        mNodes.forEach(EntryNode::stop);
        mNodes.clear();
        startNodes(count);
    }

    /** Starts the first node in a process of its own, and waits until it is ready. */
    public EntryProcess startProcess() {
        EntryProcess process = launchProcess();
        await(() -> process.isAlive() && isReady());
        return process;
    }

    /** Starts the first node in a process of its own. */
    public EntryProcess launchProcess() {
        EntryProcess process = new EntryProcess(settings(0));
        mProcesses.add(process);
        return process;
    }

    private boolean isReady() {
        try {
            return readiness(0) == 200;
        } catch (IllegalStateException e) {
            LOG.log(System.Logger.Level.DEBUG, "not ready", e);
            return false;
        }
    }

    /** Returns the port for clients. */
    public int listenPort() {
        return mListenPort;
    }

    /** Returns the port for messages between nodes. */
    public int exchangePort() {
        return mExchangePort;
    }

    private String settings(int i) {
        return NodeSettingsText.of(
                i, mListenPort, mReadinessPort, mExchangePort, mStore.address(), mBounds);
    }

    /** Sends a datagram to a node as another node would. */
    public void sendDatagram(int node, byte[] data) {
        try (DatagramSocket socket = new DatagramSocket()) {
            InetAddress ip = InetAddress.getByName("127.0.0." + (node + 1));
            socket.send(new DatagramPacket(data, data.length, ip, mExchangePort));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public EntryNode node(int i) {
        return mNodes.get(i);
    }

    public int readiness(int node) {
        return send(node, mReadinessPort, HttpRequest.newBuilder(), "/").statusCode();
    }

    /** Sends a request for the base model to the first node and returns its response. */
    public HttpResponse<String> callBaseModel(String path, String id) {
        return send(0, mListenPort, modelRequest(path, id), path);
    }

    /** Sends a request for the base model to the first node and reads its response to the end. */
    public StreamedResponse stream(String path, String id, String... headers) {
        return streamAfter(new CountDownLatch(0), path, id, headers);
    }

    /** Reads the body of the response only after an event. */
    public StreamedResponse streamAfter(
            CountDownLatch event, String path, String id, String... headers) {
        HttpRequest.Builder request = modelRequest(path, id);
        if (headers.length > 0) {
            request.headers(headers);
        }
        return StreamedResponse.read(mClient, request.build(), event);
    }

    private HttpRequest.Builder modelRequest(String path, String id) {
        return withModel(newRequest(id, "x"), "m").uri(clientUri(0, path)).timeout(TIMEOUT);
    }

    /**
     * Sends a request for the base model to the first node and awaits the status of its response.
     */
    public int awaitStatus(String path, String id) {
        return StreamedResponse.awaitStatus(mClient, modelRequest(path, id).build());
    }

    /** Sends a request with the given id to a node and returns its response. */
    public HttpResponse<String> call(int node, String path, String id, String body) {
        HttpRequest.Builder request = newRequest(id, body);
        if (path.startsWith("/chat/") || path.startsWith("/talk/")) {
            withModel(request, "m/a1");
        }
        return send(node, mListenPort, request, path);
    }

    /** Sends a request for a model, without an adapter, to the first node. */
    public HttpResponse<String> callModel(String model, String id) {
        return send(0, mListenPort, withModel(newRequest(id, "x"), model), "/chat/");
    }

    /** Sends a request for the base model with a prompt of the given parts to a node. */
    public HttpResponse<String> callWithPrompt(int node, String path, String id, String... parts) {
        String prefix = Arrays.stream(parts).map(p -> p + ":10").collect(Collectors.joining(","));
        HttpRequest.Builder request =
                newRequest(id, "x").header("X-Fescuehollow-Prompt-Prefix", prefix);
        return send(node, mListenPort, withModel(request, "m"), path);
    }

    private static HttpRequest.Builder newRequest(String id, String body) {
        return HttpRequest.newBuilder()
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .header("X-Fescuehollow-Attempt-Id", id)
                .header("X-Fescuehollow-Deadline-Ms", String.valueOf(DEADLINE_MILLIS));
    }

    private static HttpRequest.Builder withModel(HttpRequest.Builder request, String model) {
        return request.header("X-Fescuehollow-Model", model)
                .header("X-Fescuehollow-Token-Usage", "100,10");
    }

    private HttpResponse<String> send(
            int node, int port, HttpRequest.Builder request, String path) {
        HttpRequest sent = request.uri(uri(node, port, path)).build();
        try {
            return mClient.sendAsync(sent, HttpResponse.BodyHandlers.ofString())
                    .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (TimeoutException e) {
            throw new AssertionError("expected the response to end within " + TIMEOUT, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns the address of a path at a node, for clients. */
    URI clientUri(int node, String path) {
        return uri(node, mListenPort, path);
    }

    private static URI uri(int node, int port, String path) {
        return URI.create("http://127.0.0." + (node + 1) + ":" + port + path);
    }

    /** Waits until a condition holds, and fails if it does not within the timeout. */
    public static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("expected the condition to hold within " + TIMEOUT);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }

    @Override
    public void close() {
        mNodes.forEach(EntryNode::stop);
        mProcesses.forEach(EntryProcess::close);
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
