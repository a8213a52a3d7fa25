package org.fescuehollow.server.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.membership.GossipMessage;
import org.fescuehollow.membership.Membership;
import org.fescuehollow.membership.MembershipTiming;
import org.fescuehollow.membership.OutgoingMessage;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.peer.GossipCodec;
import org.fescuehollow.server.peer.PeerService;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.server.suspects.SuspectsService;
import org.fescuehollow.wire.PeerProto;

/**
 * Keeps up with which entry nodes are alive, by datagrams.
 *
 * <p>Invariant: a datagram that can't be read is dropped and counted, and changes nothing. Used on
 * the node's loop.
 */
public final class MembershipService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "membership";

    private static final Logger LOG = System.getLogger(MembershipService.class.getName());
    private static final int TICKS_PER_PERIOD = 10;
    private static final int FINDINGS_PER_MESSAGE = 4;
    private static final int TOLD_AT_ONCE = 100;

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private final Membership mMembership;
    private final long mPeriodMillis;
    private final List<Consumer<String>> mDigestListeners = new ArrayList<>();
    private FleetService mFleet;
    private SettingsService mSettings;
    private SuspectsService mSuspects;
    private Channel mChannel;
    private Runnable mStopTicks = () -> {};
    private SortedSet<String> mUsable = new TreeSet<>();
    private long mPauses;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param metrics the process's metrics
     */
    public MembershipService(NodeConfig config, NodeLoop loop, Metrics metrics) {
        mConfig = config;
        mLoop = loop;
        mMetrics = metrics;
        mPeriodMillis = config.limits().probeMillis();
        mMembership =
                new Membership(
                        config.nodeId(),
                        config.domain(),
                        Instant.now().toEpochMilli(),
                        MembershipTiming.ofProbeIntervalMillis(mPeriodMillis));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mSettings = kernel.find(SettingsService.NAME, SettingsService.class);
        mSuspects = kernel.find(SuspectsService.NAME, SuspectsService.class);
        PeerService peers = kernel.find(PeerService.NAME, PeerService.class);
        mChannel =
                new Bootstrap()
                        .group(peers.group())
                        .channel(NioDatagramChannel.class)
                        .handler(new DatagramHandler())
                        .bind(mConfig.peers().host(), peers.port())
                        .syncUninterruptibly()
                        .channel();
        mLoop.run(
                () -> {
                    mFleet.onListChange(this::listed);
                    tellOfCrashes(peers);
                    listed();
                });
        mStopTicks = mLoop.every(Math.max(1, mPeriodMillis / TICKS_PER_PERIOD), this::tick);
    }

    /** A crash is told at once: the caller may send the request again at any moment. */
    private void tellOfCrashes(PeerService peers) {
        peers.onNews(
                PeerProto.Frame.BodyCase.CRASH_FINDINGS,
                (node, frame, reply) ->
                        GossipCodec.findings(
                                        frame.getCrashFindings().getFindingsList(), mLoop.now())
                                .forEach(mSuspects::merge));
        mSuspects.onCrash(
                findings -> {
                    PeerProto.CrashFindings.Builder news = PeerProto.CrashFindings.newBuilder();
                    findings.forEach(f -> news.addFindings(GossipCodec.finding(f, mLoop.now())));
                    PeerProto.Frame frame =
                            PeerProto.Frame.newBuilder().setCrashFindings(news).build();
                    mUsable.stream()
                            .filter(n -> !n.equals(mConfig.nodeId()))
                            .limit(TOLD_AT_ONCE)
                            .forEach(n -> peers.send(n, frame));
                });
    }

    private void listed() {
        Map<String, String> nodes =
                mFleet.view().vms().withRole(VmRole.ENTRY).stream()
                        .collect(Collectors.toMap(Vm::id, Vm::domain));
        if (mFleet.view().vms().revision() > 0) {
            mMembership.setListedNodes(nodes);
            publish();
        }
    }

    private void tick() {
        mMembership.tick(mLoop.now()).forEach(this::send);
        if (mMembership.pauseCount() > mPauses) {
            mPauses = mMembership.pauseCount();
            mMetrics.event("paused");
            LOG.log(Level.WARNING, "this process was paused; it gives up what it held");
        }
        publish();
    }

    private void publish() {
        SortedSet<String> usable = mMembership.usableNodes();
        if (!usable.equals(mUsable)) {
            mUsable = usable;
            mMetrics.event("live_nodes_changed");
            mFleet.setLiveNodes(usable);
        }
    }

    private void send(OutgoingMessage out) {
        mFleet.view().vms().find(out.to()).ifPresent(vm -> send(vm, out.message()));
    }

    private void send(Vm to, GossipMessage message) {
        PeerProto.Gossip datagram =
                GossipCodec.encode(
                        message,
                        mSettings.store().digest(),
                        mSuspects.news(FINDINGS_PER_MESSAGE),
                        mLoop.now());
        byte[] bytes = datagram.toByteArray();
        mMetrics.sentControl(bytes.length);
        mChannel.writeAndFlush(
                new DatagramPacket(
                        Unpooled.wrappedBuffer(bytes),
                        new InetSocketAddress(to.host(), to.port())));
    }

    private void received(byte[] bytes) {
        try {
            PeerProto.Gossip gossip = PeerProto.Gossip.parseFrom(bytes);
            GossipMessage message = GossipCodec.message(gossip);
            long now = mLoop.now();
            mMembership.receive(now, message).forEach(this::send);
            GossipCodec.findings(gossip.getFindingsList(), now).forEach(mSuspects::merge);
            if (gossip.getSettingsDigest() != mSettings.store().digest()) {
                mDigestListeners.forEach(l -> l.accept(message.from()));
            }
            publish();
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            mMetrics.event("datagram_unreadable");
        }
    }

    /**
     * Registers an action for datagrams whose settings digest differs from this node's.
     *
     * @param listener takes the sender's id
     */
    public void onOtherSettings(Consumer<String> listener) {
        mDigestListeners.add(listener);
    }

    /**
     * Tells whether this node has heard, or tried to hear, the others of its failure domain.
     *
     * @return true once it has
     */
    public boolean isSettled() {
        return mMembership.isSettled();
    }

    /** Tells other nodes that this one stops. */
    public void leave() {
        mLoop.run(() -> mMembership.leave().forEach(this::send));
    }

    @Override
    public void stop() {
        mStopTicks.run();
        mChannel.close().syncUninterruptibly();
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        mMembership.members().forEach((n, u) -> out.put(n, u.state() + " " + u.incarnation()));
        out.put("settled", mMembership.isSettled());
        out.put("incarnation", mMembership.incarnation());
        out.put("pauses", mMembership.pauseCount());
        return out;
    }

    /** Hands datagrams over to the node's loop. Used on one event loop. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            mLoop.run(() -> received(bytes));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mMetrics.event("datagram_unsent");
        }
    }
}
