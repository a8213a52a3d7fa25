package org.fescuehollow.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.exchange.GossipSchedule;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.wire.ExchangeProto.Adapter;
import org.fescuehollow.wire.ExchangeProto.EngineHolding;
import org.fescuehollow.wire.ExchangeProto.EngineWork;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.PeerSeen;

/**
 * Measures the periodic state messages of one entry node, with a typical content: the reference for
 * what other content adds. What a node does with a message is not included.
 *
 * <p>Not safe for concurrent use.
 */
final class StateMessageLoad {
    private static final int SECONDS = 60;
    private static final int PERIODS_PER_SECOND = 5;
    private static final int UDP_HEADER_BYTES = 28;
    private static final int CLOSE_PEERS = 6;
    private static final int MENTIONED_NODES = 3;
    private static final int ENGINES_IN_USE = 4;
    private static final int ADAPTERS = 8;

    private final GossipSchedule mSchedule = new GossipSchedule("entry-0");
    private final List<Peer> mPeers;
    private final Set<String> mClosePeers;
    private long mMessages;
    private long mBytes;

    StateMessageLoad(int nodes) {
        mPeers =
                IntStream.range(1, nodes)
                        .mapToObj(i -> new Peer("entry-" + i, "domain-" + i % 5, "10.0.0." + i))
                        .toList();
        mClosePeers =
                mPeers.stream().limit(CLOSE_PEERS).map(Peer::name).collect(Collectors.toSet());
    }

    StreamOriginLoad.Cost measure() {
        run(SECONDS);
        mMessages = 0;
        mBytes = 0;
        double cpuNanos = ResourceMeter.cpuNanos(() -> run(SECONDS));
        return new StreamOriginLoad.Cost(
                (double) mMessages / SECONDS,
                (double) mBytes / SECONDS,
                cpuNanos / 1_000 / SECONDS);
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds * PERIODS_PER_SECOND; i++) {
            mSchedule.recipients(mPeers, mClosePeers).forEach(p -> send(++mMessages));
        }
    }

    /** Encodes a message, and decodes it as a node receives as many as it sends. */
    private void send(long sequence) {
        byte[] bytes = message(sequence).toByteArray();
        mBytes += bytes.length + UDP_HEADER_BYTES;
        try {
            NodeNews.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static NodeNews message(long sequence) {
        NodeNews.Builder message =
                NodeNews.newBuilder()
                        .setNode("entry-0")
                        .setDomain("domain-0")
                        .setIp("10.0.0.0")
                        .setIncarnation(1_700_000_000_000L)
                        .setSequence(sequence)
                        .setWhole(true)
                        .setNodes(95);
        for (int i = 0; i < MENTIONED_NODES; i++) {
            message.addPeers(
                    PeerSeen.newBuilder()
                            .setNode("entry-" + i)
                            .setDomain("domain-" + i)
                            .setIp("10.0.0." + i));
        }
        for (int i = 0; i < ENGINES_IN_USE; i++) {
            message.addWork(work(i));
        }
        return message.addHoldings(holding()).build();
    }

    private static EngineWork work(int engine) {
        return EngineWork.newBuilder()
                .setEngine("i-0123456" + engine)
                .setRunning(9)
                .setUnreadTokens(4_000)
                .setCacheTokens(90_000)
                .build();
    }

    private static EngineHolding holding() {
        EngineHolding.Builder holding =
                EngineHolding.newBuilder().setEngine("i-01234567").setFence(7).setTotal(work(7));
        for (int i = 0; i < ADAPTERS; i++) {
            holding.addAdapters(
                    Adapter.newBuilder().setModel("model-1").setName("a" + i).setVersion(3));
        }
        return holding.build();
    }
}
