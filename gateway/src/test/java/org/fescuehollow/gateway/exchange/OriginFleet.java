package org.fescuehollow.gateway.exchange;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.gateway.metrics.GatewayMetrics;
import org.fescuehollow.gateway.node.NodeClock;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.versions.OriginHolders;
import org.fescuehollow.versions.StreamOrigins;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/**
 * Exchanges of several nodes, whose messages are encoded and delivered in memory. All nodes believe
 * each other to be live, also those that were killed.
 */
final class OriginFleet implements AutoCloseable {
    /** A message on its way. */
    record Datagram(int from, int to, NodeNews content, int bytes) {
        boolean isQuestion() {
            return content.getOriginQuestionsCount() > 0;
        }

        boolean isAnswer() {
            return content.getOriginAnswersCount() > 0;
        }
    }

    private final Vertx mVertx = Vertx.vertx();
    private final List<Node> mNodes = new ArrayList<>();
    private final List<Datagram> mSent = new CopyOnWriteArrayList<>();
    private volatile Predicate<Datagram> mLost = d -> false;
    private volatile long mAnswerDelayMillis = 1;

    /** One node; a node that starts again has forgotten all. */
    private static final class Node {
        private final GatewayMetrics mMetrics = new GatewayMetrics();
        private boolean mKilled;
        private StreamOrigins mOrigins;
        private StreamOriginExchange mExchange;
    }

    OriginFleet(int nodes) {
        IntStream.range(0, nodes)
                .forEach(
                        i -> {
                            mNodes.add(new Node());
                            restart(i);
                        });
    }

    private static String name(int node) {
        return "node-" + node;
    }

    private static String ip(int node) {
        return "10.0.0." + node;
    }

    private static int indexOf(String text) {
        return Integer.parseInt(text.substring(Math.max(text.lastIndexOf('.'), 4) + 1));
    }

    private NodeContext context(int node) {
        JsonObject settings =
                new JsonObject()
                        .put("node", name(node))
                        .put("domain", "north")
                        .put("ip", ip(node))
                        .put("callers", "10.0.0.1:1")
                        .put("readiness", "10.0.0.1:2")
                        .put("exchangePorts", new JsonArray().add(3))
                        .put("store", "10.0.0.1:4");
        return new NodeContext(
                mVertx,
                null,
                null,
                null,
                new NodeClock(),
                NodeSettings.parse(settings.encode()),
                new EventLog(OutputStream.nullOutputStream()),
                mNodes.get(node).mMetrics);
    }

    void restart(int node) {
        NodeContext context = context(node);
        Node n = mNodes.get(node);
        n.mKilled = false;
        n.mOrigins = new StreamOrigins(1_000);
        n.mExchange =
                new StreamOriginExchange(
                        context,
                        n.mOrigins,
                        () -> peers(node),
                        (message, ip) -> send(node, message, indexOf(ip)));
    }

    void kill(int node) {
        mNodes.get(node).mKilled = true;
    }

    private List<Peer> peers(int self) {
        return IntStream.range(0, mNodes.size())
                .filter(i -> i != self)
                .mapToObj(i -> new Peer(name(i), "north", ip(i)))
                .toList();
    }

    /** Returns the other nodes that are told or asked by a node. */
    List<Integer> holders(int node, String id) {
        return OriginHolders.of(id, peers(node).stream().map(Peer::name).toList()).stream()
                .map(OriginFleet::indexOf)
                .toList();
    }

    private void send(int from, NodeNews.Builder message, int to) {
        byte[] bytes = message.setNode(name(from)).setIp(ip(from)).build().toByteArray();
        Datagram datagram = new Datagram(from, to, parse(bytes), bytes.length);
        mSent.add(datagram);
        if (!mLost.test(datagram)) {
            long delay = datagram.isAnswer() ? mAnswerDelayMillis : 1;
            mVertx.setTimer(delay, t -> deliver(to, datagram.content()));
        }
    }

    private static NodeNews parse(byte[] bytes) {
        try {
            return NodeNews.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private void deliver(int to, NodeNews message) {
        Node node = mNodes.get(to);
        if (!node.mKilled) {
            node.mExchange.onMessage(message);
        }
    }

    /** Delivers a message as if it came from another node. */
    void receive(int node, NodeNews message) {
        run(
                () -> {
                    deliver(node, message);
                    return null;
                });
    }

    /** Loses the datagrams that match from now on. */
    void lose(Predicate<Datagram> lost) {
        mLost = lost;
    }

    void delayAnswers(long millis) {
        mAnswerDelayMillis = millis;
    }

    List<Datagram> sent() {
        return mSent;
    }

    /** Returns how often a node counted an event. */
    long count(int node, String event) {
        return mNodes.get(node)
                .mMetrics
                .prometheusText()
                .lines()
                .filter(l -> l.contains('"' + event + '"'))
                .mapToLong(l -> (long) Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
                .sum();
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

    /** Records streams at a node and tells others. */
    void record(int node, String version, String... ids) {
        run(
                () -> {
                    for (String id : ids) {
                        mNodes.get(node).mExchange.record(id, version);
                    }
                    return null;
                });
    }

    /** Records a stream at a node without telling anyone. */
    void recordSilently(int node, String version, String id) {
        run(
                () -> {
                    mNodes.get(node).mOrigins.add(id, version, System.nanoTime());
                    return null;
                });
    }

    /** Returns whether a node knows the stream itself. */
    boolean knows(int node, String id) {
        return run(() -> mNodes.get(node).mOrigins.find(id, System.nanoTime()).isPresent());
    }

    CompletableFuture<Optional<String>> find(int node, String id) {
        return run(() -> mNodes.get(node).mExchange.find(id))
                .toCompletionStage()
                .toCompletableFuture();
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
