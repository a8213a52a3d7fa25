package org.fescuehollow.gateway.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.residency.LeaseWitness;
import org.fescuehollow.wire.ExchangeProto.EngineFence;
import org.fescuehollow.wire.ExchangeProto.LeaseAnswer;
import org.fescuehollow.wire.ExchangeProto.LeaseRequest;
import org.fescuehollow.wire.ExchangeProto.NodeNews;

/**
 * Asks the witnesses for leases on engines, and answers other nodes if this node is a witness. The
 * witnesses are the seeds, which are the same on all nodes; a node without seeds is its own
 * witness.
 *
 * <p>Messages are datagrams; the next request makes up for a lost one. Not thread-safe; used on the
 * node's event loop.
 */
public final class LeaseExchange {
    /** Engines in one request, so that it fits into a datagram. */
    private static final int MAX_ENGINES_PER_MESSAGE = 200;

    private final NodeContext mContext;
    private final long mIncarnation;
    private final Supplier<List<String>> mSeeds;
    private final BiConsumer<NodeNews.Builder, String> mSender;
    private final LeaseWitness mWitness;

    /**
     * Creates the exchange.
     *
     * @param context the context of the node
     * @param incarnation the incarnation of this node
     * @param seeds returns the IP addresses of the seeds
     * @param sender sends a message to an IP address
     */
    LeaseExchange(
            NodeContext context,
            long incarnation,
            Supplier<List<String>> seeds,
            BiConsumer<NodeNews.Builder, String> sender) {
        mContext = context;
        mIncarnation = incarnation;
        mSeeds = seeds;
        mSender = sender;
        mWitness = new LeaseWitness(context.settings().leaseMillis(), context.clock().now());
    }

    /**
     * Returns the witnesses.
     *
     * @return their IP addresses, each once
     */
    public List<String> witnesses() {
        List<String> seeds = mSeeds.get();
        return seeds.isEmpty()
                ? List.of(mContext.settings().ip())
                : seeds.stream().distinct().toList();
    }

    /**
     * Asks all witnesses for leases.
     *
     * @param fences the highest known fencing numbers by engine id
     * @param orders receives the grants
     */
    public void request(Map<String, Long> fences, OrderService orders) {
        long now = mContext.clock().now();
        List<EngineFence> engines =
                fences.entrySet().stream().map(e -> fence(e.getKey(), e.getValue())).toList();
        for (int i = 0; i < engines.size(); i += MAX_ENGINES_PER_MESSAGE) {
            int end = Math.min(engines.size(), i + MAX_ENGINES_PER_MESSAGE);
            LeaseRequest request =
                    LeaseRequest.newBuilder()
                            .setAsked(now)
                            .addAllEngines(engines.subList(i, end))
                            .build();
            sendRequest(request, orders);
        }
    }

    /**
     * Tells all witnesses that this node does not use the lease of an engine that it asked for.
     *
     * @param engine the engine's id
     * @param orders receives no grants
     */
    public void withdraw(String engine, OrderService orders) {
        LeaseRequest request =
                LeaseRequest.newBuilder()
                        .setAsked(mContext.clock().now())
                        .addWithdrawn(engine)
                        .build();
        sendRequest(request, orders);
    }

    private void sendRequest(LeaseRequest request, OrderService orders) {
        String self = mContext.settings().ip();
        for (String witness : witnesses()) {
            if (witness.equals(self)) {
                String node = owner(mContext.settings().node(), mIncarnation);
                deliver(orders, self, request.getAsked(), decide(request, node));
            } else {
                mSender.accept(NodeNews.newBuilder().setLeaseRequest(request), witness);
            }
        }
    }

    /** A node that started again is another owner: it doesn't know what it did before. */
    private static String owner(String node, long incarnation) {
        return node + '@' + incarnation;
    }

    private static EngineFence fence(String engine, long fence) {
        return EngineFence.newBuilder().setEngine(engine).setFence(fence).build();
    }

    private Map<String, Long> decide(LeaseRequest request, String node) {
        long now = mContext.clock().now();
        request.getWithdrawnList()
                .forEach(e -> mWitness.onWithdrawn(e, node, request.getAsked(), now));
        Map<String, Long> granted = new HashMap<>();
        for (EngineFence e : request.getEnginesList()) {
            OptionalLong fence =
                    mWitness.request(e.getEngine(), node, request.getAsked(), e.getFence(), now);
            fence.ifPresent(f -> granted.put(e.getEngine(), f));
        }
        return granted;
    }

    /** Handles a message of another node, which may hold a request, an answer or neither. */
    void onMessage(NodeNews message, OrderService orders) {
        if (message.hasLeaseRequest()) {
            answer(message);
        }
        boolean answersThisIncarnation =
                message.hasLeaseAnswer()
                        && message.getLeaseAnswer().getIncarnation() == mIncarnation;
        if (answersThisIncarnation) {
            Map<String, Long> granted = new HashMap<>();
            message.getLeaseAnswer()
                    .getGrantedList()
                    .forEach(e -> granted.put(e.getEngine(), e.getFence()));
            deliver(orders, message.getIp(), message.getLeaseAnswer().getAsked(), granted);
        }
    }

    private void answer(NodeNews message) {
        LeaseRequest request = message.getLeaseRequest();
        String node = owner(message.getNode(), message.getIncarnation());
        Map<String, Long> granted = decide(request, node);
        int refused = request.getEnginesCount() - granted.size();
        if (refused > 0) {
            mContext.metrics().countEvent("lease_refused");
        }
        LeaseAnswer.Builder answer =
                LeaseAnswer.newBuilder()
                        .setAsked(request.getAsked())
                        .setIncarnation(message.getIncarnation());
        granted.forEach((engine, fence) -> answer.addGranted(fence(engine, fence)));
        if (!granted.isEmpty()) {
            mSender.accept(NodeNews.newBuilder().setLeaseAnswer(answer), message.getIp());
        }
    }

    private static void deliver(
            OrderService orders, String witness, long asked, Map<String, Long> granted) {
        granted.forEach((engine, fence) -> orders.onLeaseGranted(engine, witness, asked, fence));
    }

    /** Handles the message of a node that it leaves and gives no more orders. */
    void onLeaving(String node, long incarnation) {
        mWitness.onReleased(owner(node, incarnation), mContext.clock().now());
    }
}
