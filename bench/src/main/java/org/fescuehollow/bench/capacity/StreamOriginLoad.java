package org.fescuehollow.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.gateway.exchange.StreamOriginExchange;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.gateway.metrics.GatewayMetrics;
import org.fescuehollow.gateway.node.NodeClock;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.versions.StreamOrigins;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/**
 * Measures what the records of streams cost a fleet of entry nodes, and how long questions take.
 * All nodes run on one event loop; their messages are encoded, delivered in memory and decoded.
 *
 * <p>Not safe for concurrent use.
 */
final class StreamOriginLoad implements AutoCloseable {
    private static final int DOMAINS = 5;
    private static final int UDP_HEADER_BYTES = 28;
    private static final int TICK_MILLIS = 10;
    private static final int SECONDS = 5;
    private static final int MAX_STREAMS = 16_384;

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Random mRandom = new Random(47);
    private final List<Peer> mNodes;
    private final List<StreamOriginExchange> mExchanges = new ArrayList<>();
    private final long mThreadId;
    private long mBytes;
    private long mMessages;
    private long mIds;

    /**
     * Resources that one node uses.
     *
     * @param messages datagrams sent
     * @param bytes bytes sent, including IP and UDP headers
     * @param cpuMicros processor time in microseconds
     */
    record Cost(double messages, double bytes, double cpuMicros) {}

    /**
     * Streams that are resumed at once.
     *
     * @param cost what one node uses for it
     * @param answered questions that were answered with a version
     * @param millis the time until the last answer
     */
    record Resumption(Cost cost, long answered, double millis) {}

    StreamOriginLoad(int nodes) {
        mNodes = IntStream.range(0, nodes).mapToObj(StreamOriginLoad::peer).toList();
        IntStream.range(0, nodes).forEach(this::addNode);
        mThreadId = run(() -> Thread.currentThread().getId());
    }

    private static Peer peer(int node) {
        return new Peer("entry-" + node, "domain-" + node % DOMAINS, "10.0.0." + node);
    }

    private void addNode(int node) {
        Peer self = mNodes.get(node);
        List<Peer> others = mNodes.stream().filter(p -> !p.equals(self)).toList();
        JsonObject settings =
                new JsonObject()
                        .put("node", self.name())
                        .put("domain", self.domain())
                        .put("ip", self.ip())
                        .put("callers", "10.0.0.1:1")
                        .put("readiness", "10.0.0.1:2")
                        .put("exchangePorts", new JsonArray().add(3))
                        .put("store", "10.0.0.1:4");
        NodeContext context =
                new NodeContext(
                        mVertx,
                        null,
                        null,
                        null,
                        new NodeClock(),
                        NodeSettings.parse(settings.encode()),
                        new EventLog(OutputStream.nullOutputStream()),
                        new GatewayMetrics());
        mExchanges.add(
                new StreamOriginExchange(
                        context,
                        new StreamOrigins(MAX_STREAMS),
                        () -> others,
                        (message, ip) -> send(self, message, ip)));
    }

    private void send(Peer from, NodeNews.Builder message, String ip) {
        byte[] bytes =
                message.setNode(from.name())
                        .setDomain(from.domain())
                        .setIp(from.ip())
                        .setIncarnation(1_700_000_000_000L)
                        .build()
                        .toByteArray();
        mMessages++;
        mBytes += bytes.length + UDP_HEADER_BYTES;
        int to = Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1));
        mVertx.runOnContext(v -> receive(to, bytes));
    }

    private void receive(int node, byte[] bytes) {
        try {
            mExchanges.get(node).onMessage(NodeNews.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private <T> T run(Callable<T> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mVertx.runOnContext(
                v -> {
                    try {
                        result.complete(action.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.join();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /**
     * Measures a node while streams begin that others have to be told of.
     *
     * @param streamsPerSecond the rate of these streams over all nodes
     * @return resources per node and second
     */
    Cost record(double streamsPerSecond) {
        sleep(500);
        Cost before = used();
        double[] due = new double[1];
        long timer =
                mVertx.setPeriodic(
                        TICK_MILLIS,
                        t -> {
                            due[0] += streamsPerSecond * TICK_MILLIS / 1_000;
                            for (; due[0] >= 1; due[0]--) {
                                recordStream(nextId());
                            }
                        });
        sleep(SECONDS * 1_000L);
        Cost cost = since(before, (double) SECONDS * mNodes.size());
        mVertx.cancelTimer(timer);
        return cost;
    }

    private Cost used() {
        return run(
                () ->
                        new Cost(
                                mMessages,
                                mBytes,
                                ManagementFactory.getThreadMXBean().getThreadCpuTime(mThreadId)
                                        / 1e3));
    }

    private Cost since(Cost before, double divisor) {
        Cost now = used();
        return new Cost(
                (now.messages() - before.messages()) / divisor,
                (now.bytes() - before.bytes()) / divisor,
                (now.cpuMicros() - before.cpuMicros()) / divisor);
    }

    private String nextId() {
        return String.format("%016x", new Random(mIds++).nextLong());
    }

    private int recordStream(String id) {
        int node = mRandom.nextInt(mNodes.size());
        mExchanges.get(node).record(id, "v1.1");
        return node;
    }

    /**
     * Measures streams that are resumed at once at random nodes, each known to the nodes that were
     * told.
     *
     * @param streams the number of streams
     * @return resources per node, and the answers
     */
    Resumption resume(int streams) {
        List<String> ids = IntStream.range(0, streams).mapToObj(i -> nextId()).toList();
        run(() -> ids.stream().map(this::recordStream).toList());
        sleep(500);
        Cost before = used();
        long startNanos = System.nanoTime();
        List<CompletableFuture<Boolean>> answers =
                run(
                        () ->
                                ids.stream()
                                        .map(id -> find(mRandom.nextInt(mNodes.size()), id))
                                        .toList());
        long answered = answers.stream().filter(CompletableFuture::join).count();
        double millis = (System.nanoTime() - startNanos) / 1e6;
        sleep(300);
        return new Resumption(since(before, mNodes.size()), answered, millis);
    }

    private CompletableFuture<Boolean> find(int node, String id) {
        return mExchanges
                .get(node)
                .find(id)
                .map(v -> v.isPresent())
                .toCompletionStage()
                .toCompletableFuture();
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
