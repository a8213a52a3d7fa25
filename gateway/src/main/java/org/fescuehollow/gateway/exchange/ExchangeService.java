package org.fescuehollow.gateway.exchange;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.exchange.GossipSchedule;
import org.fescuehollow.exchange.Peer;
import org.fescuehollow.exchange.PeerTable;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.residency.AdapterDemand;
import org.fescuehollow.residency.Holding;
import org.fescuehollow.residency.ResidencyTable;
import org.fescuehollow.wire.ExchangeProto.EngineHolding;
import org.fescuehollow.wire.ExchangeProto.EngineWork;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.PeerSeen;

/**
 * Tells the other entry nodes what this one does, and hears them.
 *
 * <p>Each node sends whole messages to those that {@link GossipSchedule} names each period, and
 * what can't wait at once. Messages are datagrams; a lost one is made good by the next. Used on the
 * node's loop.
 */
public final class ExchangeService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "exchange";

    /** Nodes that a message names besides its receiver; a new node hears from all in a round. */
    private static final int MAX_MENTIONED_NODES = 3;

    /** A node unheard for longer isn't named, so that one that is gone is forgotten by all. */
    private static final long MAX_MENTION_AGE_MILLIS = 30_000;

    /** The largest datagram over IP; a longer one than the buffer would be cut off. */
    private static final int MAX_DATAGRAM_BYTES = 65_507;

    /** After its start a node names all it knows, as others that start with it know few. */
    private static final long STARTUP_NANOS = Duration.ofSeconds(4).toNanos();

    private final NodeContext mContext;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final PeerTable mPeers;
    private final GossipSchedule mAudience = new GossipSchedule();
    private final long mIncarnation = System.currentTimeMillis();
    private final Set<String> mLiveNodes = new HashSet<>();
    private List<String> mSeeds;
    private DatagramSocket mSocket;
    private StateMessageHandler mMessageHandler;
    private OrderService mOrders;
    private CatalogService mCatalog;
    private long mSequence;
    private boolean mLeaving;
    private long mTimer;
    private long mStartedNanos;
    private int mNextMention;

    /**
     * Creates the service.
     *
     * @param context the node
     * @param dispatcher is told of other nodes' work
     * @param residency is told of other nodes' holdings
     */
    public ExchangeService(NodeContext context, Dispatcher dispatcher, ResidencyTable residency) {
        mContext = context;
        mDispatcher = dispatcher;
        mResidency = residency;
        NodeSettings s = context.settings();
        mPeers = new PeerTable(new Peer(s.node(), s.domain(), s.ip()), context.clock().now());
        mSeeds = s.seeds();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mOrders = kernel.find(OrderService.NAME, OrderService.class);
        mCatalog = kernel.find(CatalogService.NAME, CatalogService.class);
        mMessageHandler =
                new StateMessageHandler(
                        mContext, mPeers, mDispatcher, mResidency, mCatalog, mOrders);
        mStartedNanos = mContext.clock().now();
        mSocket = mContext.vertx().createDatagramSocket(socketOptions());
        mSocket.handler(p -> onDatagram(p.data()));
        mSocket.listen(mContext.settings().exchangePort(), mContext.settings().ip())
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        mTimer = mContext.vertx().setPeriodic(GossipSchedule.PERIOD.toMillis(), t -> sendState());
    }

    static DatagramSocketOptions socketOptions() {
        return new DatagramSocketOptions().setReceiveBufferSize(MAX_DATAGRAM_BYTES);
    }

    @Override
    public void stop() {
        mContext.vertx().cancelTimer(mTimer);
        mSocket.close();
    }

    /**
     * Takes new addresses of nodes to find the others by.
     *
     * @param seeds IP numbers
     */
    public void setSeeds(List<String> seeds) {
        mSeeds = seeds;
    }

    /**
     * Tells whether this node knows all others.
     *
     * @return false after a start while it is cut off
     */
    public boolean hasFullView() {
        return mPeers.hasFullView(mSeeds, mContext.clock().now());
    }

    /** Says that this node takes no more work. */
    public void announceLeaving() {
        mLeaving = true;
        sendState();
    }

    private void sendState() {
        long now = mContext.clock().now();
        mPeers.removeSilent(now);
        List<Peer> peers = mPeers.peers();
        Duration trust = mAudience.stateTtl(peers.size());
        mPeers.setLivenessTimeout(trust);
        mResidency.setUpdateTtl(trust);
        mDispatcher.setNodeCount(mPeers.size());
        updateLiveNodes(now);
        StateMessages news = new StateMessages(now);
        List<Peer> due = mLeaving ? peers : mAudience.recipients(peers, sharedClaimants());
        due.forEach(p -> send(news.fullState(Optional.of(p)), p.ip()));
        Set<String> known = peers.stream().map(Peer::ip).collect(Collectors.toSet());
        mSeeds.stream()
                .filter(s -> !known.contains(s) && !s.equals(mContext.settings().ip()))
                .forEach(s -> send(news.fullState(Optional.empty()), s));
    }

    /** The nodes that may claim the same engines as this one. */
    private Set<String> sharedClaimants() {
        return mCatalog.engines().stream()
                .map(e -> mPeers.claimants(e.id(), e.domain()))
                .filter(c -> c.stream().anyMatch(p -> p.name().equals(mContext.settings().node())))
                .flatMap(List::stream)
                .map(Peer::name)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the time within which each node hears each other one.
     *
     * @return one period in a small fleet
     */
    public Duration roundDuration() {
        return mAudience.roundDuration(mPeers.size() - 1);
    }

    private boolean sendsWorkToAll() {
        return mAudience.isFullMesh(mPeers.size() - 1);
    }

    private void updateLiveNodes(long now) {
        for (Peer p : mPeers.peers()) {
            boolean live = mPeers.isLive(p.name(), now);
            if (live && mLiveNodes.add(p.name())) {
                mContext.log().event("node_regained", "node", p.name());
            } else if (!live && mLiveNodes.remove(p.name())) {
                mContext.log()
                        .event(
                                "node_lost",
                                "node",
                                p.name(),
                                "silent_ms",
                                mPeers.heardMillisAgo(p.name(), now).orElse(-1L));
            }
        }
    }

    /** What one period's messages have in common. */
    private final class StateMessages {
        private final long mNow;
        private final List<EngineWork> mWork;
        private final List<EngineHolding> mHoldings;
        private final List<Peer> mMentioned;

        StateMessages(long now) {
            mNow = now;
            mWork =
                    mCatalog.engines().stream()
                            .map(Engine::id)
                            .filter(e -> mDispatcher.ownWork(e).running() > 0)
                            .map(ExchangeService.this::ownWork)
                            .toList();
            mHoldings =
                    mOrders.holdings().entrySet().stream()
                            .map(e -> encodeHolding(e.getKey(), e.getValue(), now))
                            .toList();
            mMentioned = nodesToMention(now);
        }

        byte[] fullState(Optional<Peer> to) {
            NodeNews.Builder news = stateMessageBuilder().setWhole(true).addAllHoldings(mHoldings);
            to.ifPresent(p -> news.addPeers(encodePeer(p, mNow)));
            mMentioned.stream()
                    .filter(p -> !to.equals(Optional.of(p)))
                    .forEach(p -> news.addPeers(encodePeer(p, mNow)));
            to.ifPresent(p -> mWork.forEach(w -> workFor(p, w).ifPresent(news::addWork)));
            return news.build().toByteArray();
        }

        private Optional<EngineWork> workFor(Peer to, EngineWork work) {
            if (!sendsWorkToAll()) {
                return Optional.of(work).filter(w -> isHolder(to, w.getEngine(), mNow));
            }
            return Optional.of(
                    mayClaim(to, work.getEngine())
                            ? work
                            : StateMessageCodec.withoutAdapters(work));
        }
    }

    /** Some of the nodes heard not long ago, others each time; all of them in the first seconds. */
    private List<Peer> nodesToMention(long now) {
        List<Peer> heard =
                mPeers.peers().stream()
                        .filter(
                                p ->
                                        mPeers.heardMillisAgo(p.name(), now).orElse(Long.MAX_VALUE)
                                                < MAX_MENTION_AGE_MILLIS)
                        .sorted(Comparator.comparing(Peer::name))
                        .toList();
        boolean young = now - mStartedNanos < STARTUP_NANOS;
        if (young || heard.size() <= MAX_MENTIONED_NODES) {
            return heard;
        }
        List<Peer> some = new ArrayList<>();
        for (int i = 0; i < MAX_MENTIONED_NODES; i++) {
            some.add(heard.get(Math.floorMod(mNextMention++, heard.size())));
        }
        return some;
    }

    private boolean isHolder(Peer node, String engine, long now) {
        return mResidency.holder(engine, now).filter(node.name()::equals).isPresent();
    }

    /** Only nodes that may order an engine need to know which adapters are in use there. */
    private boolean mayClaim(Peer node, String engine) {
        return mCatalog.engine(engine)
                .filter(e -> mPeers.claimants(engine, e.domain()).contains(node))
                .isPresent();
    }

    private EngineWork ownWork(String engine) {
        return StateMessageCodec.work(
                engine, mDispatcher.ownWork(engine), mDispatcher.ownAdapters(engine));
    }

    private EngineHolding encodeHolding(String engine, Holding holding, long now) {
        return StateMessageCodec.holding(engine, holding, mDispatcher.totalWork(engine, now));
    }

    private NodeNews.Builder stateMessageBuilder() {
        NodeSettings s = mContext.settings();
        return NodeNews.newBuilder()
                .setNode(s.node())
                .setDomain(s.domain())
                .setIp(s.ip())
                .setIncarnation(mIncarnation)
                .setSequence(++mSequence)
                .setNodes(hasFullView() ? mPeers.size() : 0)
                .setLeaving(mLeaving);
    }

    private PeerSeen encodePeer(Peer p, long now) {
        PeerSeen.Builder seen =
                PeerSeen.newBuilder().setNode(p.name()).setDomain(p.domain()).setIp(p.ip());
        // Counted from one, so that 0 says that the node was never heard.
        mPeers.heardMillisAgo(p.name(), now).ifPresent(m -> seen.setHeardMsAgo((int) (m + 1)));
        return seen.build();
    }

    private void send(byte[] news, String ip) {
        mSocket.send(Buffer.buffer(news), mContext.settings().exchangePort(), ip)
                .onFailure(e -> mContext.metrics().countEvent("datagram_not_sent"));
    }

    /**
     * Asks the holder of an engine to load an adapter.
     *
     * @param holder the holder's name
     * @param engine the engine's id
     * @param want the adapter and how long the requests wait
     */
    public void sendDemand(String holder, String engine, AdapterDemand want) {
        long now = mContext.clock().now();
        byte[] news =
                stateMessageBuilder()
                        .addWants(StateMessageCodec.want(engine, want, now))
                        .build()
                        .toByteArray();
        mPeers.find(holder).ifPresent(p -> send(news, p.ip()));
    }

    /**
     * Tells all nodes at once what is ready on an engine that this node holds.
     *
     * @param engine the engine's id
     * @param holding what is ready there
     */
    public void sendHolding(String engine, Holding holding) {
        long now = mContext.clock().now();
        sendToLive(stateMessageBuilder().addHoldings(encodeHolding(engine, holding, now)).build());
    }

    private void sendToLive(NodeNews news) {
        byte[] bytes = news.toByteArray();
        mPeers.peers().stream()
                .filter(p -> mLiveNodes.contains(p.name()))
                .forEach(p -> send(bytes, p.ip()));
    }

    /**
     * Tells this node's work on an engine to its holder, and in a small fleet to all live nodes.
     *
     * @param engine the engine's id
     */
    public void sendWork(String engine) {
        long now = mContext.clock().now();
        EngineWork work = ownWork(engine);
        byte[] whole = stateMessageBuilder().addWork(work).build().toByteArray();
        byte[] counts =
                stateMessageBuilder()
                        .addWork(StateMessageCodec.withoutAdapters(work))
                        .build()
                        .toByteArray();
        mPeers.peers().stream()
                .filter(p -> mLiveNodes.contains(p.name()))
                .filter(p -> sendsWorkToAll() || isHolder(p, engine, now))
                .forEach(p -> send(mayClaim(p, engine) ? whole : counts, p.ip()));
    }

    private void onDatagram(Buffer data) {
        try {
            mMessageHandler.apply(NodeNews.parseFrom(data.getBytes()), sendsWorkToAll());
        } catch (InvalidProtocolBufferException e) {
            mContext.metrics().countEvent("unreadable_datagram");
            mContext.log().event("unreadable_datagram", "cause", e.getMessage());
        }
    }

    /**
     * Returns what is known of the other nodes.
     *
     * @return the table
     */
    public PeerTable peers() {
        return mPeers;
    }

    @Override
    public Object dump() {
        return Map.of("nodes", mPeers.peers().toString(), "live", mLiveNodes.toString());
    }
}
