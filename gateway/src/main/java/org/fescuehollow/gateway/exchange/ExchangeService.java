package org.fescuehollow.gateway.exchange;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
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
import org.fescuehollow.suspects.CrashTraits;
import org.fescuehollow.versions.StreamOrigins;
import org.fescuehollow.wire.ExchangeProto.EngineHolding;
import org.fescuehollow.wire.ExchangeProto.EngineWork;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.fescuehollow.wire.ExchangeProto.PeerSeen;

/**
 * Exchanges state messages with the other entry nodes.
 *
 * <p>Each period, a node sends full state messages to the peers that {@link GossipSchedule}
 * selects; urgent changes are sent at once. Messages are datagrams; the next message makes up for a
 * lost one. Not thread-safe; used on the node's event loop.
 */
public final class ExchangeService implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "exchange";

    /** Largest UDP payload over IPv4; datagrams beyond the receive buffer are truncated. */
    private static final int MAX_DATAGRAM_BYTES = 65_507;

    /** Changes of the work within this time are sent as one message. */
    private static final long WORK_INTERVAL_MILLIS = 20;

    private final NodeContext mContext;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final PeerTable mPeers;
    private final GossipSchedule mSchedule;
    private final TopicExchanges mTopics;
    private final MessageSender mSender;
    private final long mIncarnation = System.currentTimeMillis();
    private final LivePeers mLivePeers;
    private final PeerMentions mPeerMentions;
    private final Set<String> mChangedWork = new LinkedHashSet<>();
    private List<String> mSeeds;
    private DatagramSocket mSocket;
    private StateMessageHandler mMessageHandler;
    private WorkEncoder mWorkEncoder;
    private OrderService mOrders;
    private CatalogService mCatalog;
    private long mSequence;
    private boolean mLeaving;
    private long mTimer;

    /**
     * Creates the service.
     *
     * @param context the context of the node
     * @param dispatcher the dispatcher, which receives the work of other nodes
     * @param residency the table that records the holdings of other nodes
     * @param crashTraits the evidence for traits of requests that crash engines
     * @param origins the software versions at which streams began
     */
    public ExchangeService(
            NodeContext context,
            Dispatcher dispatcher,
            ResidencyTable residency,
            CrashTraits crashTraits,
            StreamOrigins origins) {
        mContext = context;
        mDispatcher = dispatcher;
        mResidency = residency;
        NodeSettings s = context.settings();
        mPeers = new PeerTable(new Peer(s.node(), s.domain(), s.ip()), context.clock().now());
        mLivePeers = new LivePeers(context, mPeers);
        mSeeds = s.seeds();
        mSchedule = new GossipSchedule(s.node());
        mPeerMentions = new PeerMentions(mPeers, mSchedule);
        mSender = new MessageSender(context, mIncarnation);
        mTopics =
                new TopicExchanges(
                        new SuspicionExchange(context, crashTraits, this::sendChange),
                        new RateExchange(context, dispatcher.rates(), this::sendChange),
                        new LeaseExchange(
                                context, mIncarnation, () -> mSeeds, mSender::sendContent),
                        new StreamOriginExchange(
                                context, origins, mLivePeers::remaining, mSender::sendContent),
                        new EngineReadExchange(context, mIncarnation, mSender::sendContent));
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
                        mContext, mPeers, mDispatcher, mResidency, mCatalog, mOrders, mTopics);
        mWorkEncoder = new WorkEncoder(mDispatcher, mResidency, mCatalog, mPeers);
        mCatalog.onEngineLeaving(this::sendEngineLeaving);
        mPeerMentions.onStart(mContext.clock().now());
        mSocket = mContext.vertx().createDatagramSocket(socketOptions());
        mSender.setSocket(mSocket);
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
     * Replaces the addresses that are contacted to discover other nodes.
     *
     * @param seeds IP addresses
     */
    public void setSeeds(List<String> seeds) {
        mSeeds = seeds;
    }

    /**
     * Returns whether this node knows all other nodes.
     *
     * @return false after a start until the other nodes are known, such as while this node is cut
     *     off
     */
    public boolean hasFullView() {
        return mPeers.hasFullView(mSeeds, mContext.clock().now());
    }

    /** Announces to all nodes that this one is leaving. */
    public void announceLeaving() {
        mLeaving = true;
        sendState();
    }

    private void sendState() {
        long now = mContext.clock().now();
        mPeers.removeSilent(now);
        List<Peer> peers = mPeers.peers();
        mPeers.setLivenessTimeout(mSchedule.stateTtl(peers.size()));
        mResidency.setUpdateTtl(mSchedule.stateTtl(peers.size()));
        mDispatcher.setNodeCount(mPeers.size());
        mDispatcher
                .rates()
                .setNodes(
                        mContext.settings().node(),
                        peers.stream().map(Peer::name).collect(Collectors.toSet()));
        mLivePeers.update(now);
        StateMessages messages = new StateMessages(now);
        List<Peer> recipients = mLeaving ? peers : mSchedule.recipients(peers, sharedClaimants());
        recipients.forEach(p -> mSender.send(messages.fullState(Optional.of(p)), p.ip()));
        Set<String> known = peers.stream().map(Peer::ip).collect(Collectors.toSet());
        mSeeds.stream()
                .filter(s -> !known.contains(s) && !s.equals(mContext.settings().ip()))
                .forEach(s -> mSender.send(messages.fullState(Optional.empty()), s));
    }

    /** Returns the names of the nodes that may claim an engine that this node may claim too. */
    private Set<String> sharedClaimants() {
        return mCatalog.engines().stream()
                .map(e -> mPeers.claimants(e.id(), e.domain()))
                .filter(c -> c.stream().anyMatch(p -> p.name().equals(mContext.settings().node())))
                .flatMap(List::stream)
                .map(Peer::name)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the time within which a node hears from each node that learns of it.
     *
     * @return the duration; one period in a small fleet
     */
    public Duration greetingDuration() {
        return mSchedule.greetingDuration(mPeers.size() - 1);
    }

    private boolean sendsWorkToAll() {
        return mSchedule.isFullMesh(mPeers.size() - 1);
    }

    /** The full state messages of one period and the content they share. */
    private final class StateMessages {
        private final long mNow;
        private final List<EngineWork> mWork;
        private final List<EngineHolding> mHoldings;
        private final Map<String, PeerSeen> mMentioned;
        private final NodeNews mChanges;

        StateMessages(long now) {
            mNow = now;
            mWork = mWorkEncoder.allWork();
            mHoldings =
                    mOrders.holdings().entrySet().stream()
                            .map(e -> encodeHolding(e.getKey(), e.getValue(), now))
                            .toList();
            NodeNews.Builder changes = NodeNews.newBuilder();
            mTopics.suspicions().addTo(changes, now);
            mTopics.rates().addTo(changes, now);
            mChanges = changes.build();
            mMentioned = mPeerMentions.choose(now);
        }

        byte[] fullState(Optional<Peer> to) {
            NodeNews.Builder message =
                    messageBuilder().setWhole(true).addAllHoldings(mHoldings).mergeFrom(mChanges);
            mMentioned.forEach(
                    (name, seen) -> {
                        if (to.filter(p -> p.name().equals(name)).isEmpty()) {
                            message.addPeers(seen);
                        }
                    });
            to.ifPresent(p -> message.addAllWork(workFor(p, mWork, mNow)));
            return message.build().toByteArray();
        }
    }

    private EngineHolding encodeHolding(String engine, Holding holding, long now) {
        return StateMessageCodec.holding(engine, holding, mDispatcher.totalWork(engine, now));
    }

    private NodeNews.Builder messageBuilder() {
        return mTopics.engineReads()
                .addTo(mSender.withSender(NodeNews.newBuilder()), mCatalog.versions())
                .setSequence(++mSequence)
                .setNodes(hasFullView() ? mPeers.size() : 0)
                .setLeaving(mLeaving);
    }

    /**
     * Sends the demand for an adapter to the holder of the engine.
     *
     * @param holder the name of the holder
     * @param engine the engine's id
     * @param demand the adapter and how long the requests wait
     */
    public void sendDemand(String holder, String engine, AdapterDemand demand) {
        long now = mContext.clock().now();
        byte[] message =
                messageBuilder()
                        .addWants(StateMessageCodec.demand(engine, demand, now))
                        .build()
                        .toByteArray();
        mPeers.find(holder).ifPresent(p -> mSender.send(message, p.ip()));
    }

    /**
     * Sends what is loaded on an engine that this node holds to all live nodes at once.
     *
     * @param engine the engine's id
     * @param holding what is loaded on it
     */
    public void sendHolding(String engine, Holding holding) {
        long now = mContext.clock().now();
        sendChange(m -> m.addHoldings(encodeHolding(engine, holding, now)));
    }

    private void sendEngineLeaving(Engine engine) {
        sendChange(m -> m.addLeavingEngines(StateMessageCodec.leaving(engine)));
    }

    private void sendChange(Consumer<NodeNews.Builder> content) {
        NodeNews.Builder message = messageBuilder();
        content.accept(message);
        byte[] bytes = message.build().toByteArray();
        mLivePeers.peers().forEach(p -> mSender.send(bytes, p.ip()));
    }

    /**
     * Returns the exchange of leases on engines.
     *
     * @return the exchange
     */
    public LeaseExchange leases() {
        return mTopics.leases();
    }

    /**
     * Returns the exchange of the rates of requests that engines take.
     *
     * @return the exchange
     */
    public RateExchange rates() {
        return mTopics.rates();
    }

    /**
     * Returns the exchange of evidence for traits of requests that crash engines.
     *
     * @return the exchange
     */
    public SuspicionExchange suspicions() {
        return mTopics.suspicions();
    }

    /**
     * Returns the exchange of the software versions at which streams began.
     *
     * @return the exchange
     */
    public OriginLookup origins() {
        return mTopics.origins();
    }

    /**
     * Sends this node's work on an engine soon, to its holder and in a small fleet to all live
     * nodes. One message carries all changes since the last one.
     *
     * @param engine the engine's id
     */
    public void sendWork(String engine) {
        if (mChangedWork.isEmpty()) {
            mContext.vertx().setTimer(WORK_INTERVAL_MILLIS, t -> sendChangedWork());
        }
        mChangedWork.add(engine);
    }

    private void sendChangedWork() {
        long now = mContext.clock().now();
        List<EngineWork> changed = mChangedWork.stream().map(mWorkEncoder::work).toList();
        mChangedWork.clear();
        mLivePeers
                .peers()
                .forEach(
                        p -> {
                            List<EngineWork> work = workFor(p, changed, now);
                            if (!work.isEmpty()) {
                                mSender.send(
                                        messageBuilder().addAllWork(work).build().toByteArray(),
                                        p.ip());
                            }
                        });
    }

    private List<EngineWork> workFor(Peer to, List<EngineWork> work, long now) {
        boolean toAll = sendsWorkToAll();
        return work.stream().flatMap(w -> mWorkEncoder.partFor(to, w, toAll, now)).toList();
    }

    private void onDatagram(Buffer data) {
        try {
            NodeNews message = NodeNews.parseFrom(data.getBytes());
            long before = mPeers.incarnation(message.getNode());
            mMessageHandler.apply(message, sendsWorkToAll());
            if (mPeers.incarnation(message.getNode()) > before) {
                mSchedule.onPeerStarted(message.getNode());
            }
        } catch (InvalidProtocolBufferException e) {
            mContext.metrics().countEvent("unreadable_datagram");
            mContext.log().event("unreadable_datagram", "cause", e.getMessage());
        }
    }

    /**
     * Returns the table of the other nodes.
     *
     * @return the table
     */
    public PeerTable peers() {
        return mPeers;
    }

    @Override
    public Object dump() {
        return Map.of("nodes", mPeers.peers().toString(), "live", mLivePeers.names().toString());
    }
}
