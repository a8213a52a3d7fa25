package org.fescuehollow.server.peer;

import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.Future;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.fescuehollow.error.RunState;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.Firmness;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.wire.PeerProto;

/**
 * The links to other entry nodes.
 *
 * <p>Invariant: at most one link is opened to each node; a link that broke is opened anew on the
 * next use. Used on the node's loop.
 */
public final class PeerService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "peers";

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, PeerLink> mLinks = new HashMap<>();
    private final Map<PeerProto.Frame.BodyCase, NewsHandler> mNews =
            new EnumMap<>(PeerProto.Frame.BodyCase.class);
    private FleetService mFleet;
    private Channel mListener;
    private Submitter mSubmitter = (server, call, firmness, sink) -> refuse(sink);
    private TicketRunner mTicketRunner = (ticket, call, sink) -> refuse(sink);

    /** Serves an attempt for another node. */
    @FunctionalInterface
    public interface Submitter {
        /**
         * Serves an attempt.
         *
         * @param server the backend server's id
         * @param call the call
         * @param firmness how firmly the sender asks
         * @param sink receives the answer
         * @return withdraws the attempt
         */
        CallHandle submit(String server, Call call, Firmness firmness, AnswerSink sink);
    }

    /** Serves a call with a ticket for another node. */
    @FunctionalInterface
    public interface TicketRunner {
        /**
         * Serves a call.
         *
         * @param ticket the ticket
         * @param call the call
         * @param sink receives the answer
         * @return withdraws the call
         */
        CallHandle run(String ticket, Call call, AnswerSink sink);
    }

    /** Takes frames of one kind that belong to no call. */
    @FunctionalInterface
    public interface NewsHandler {
        /**
         * Takes a frame.
         *
         * @param node the sender's id
         * @param frame the frame
         * @param reply sends a frame back
         */
        void take(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply);
    }

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     */
    public PeerService(NodeConfig config, NodeLoop loop) {
        mConfig = config;
        mLoop = loop;
    }

    private static CallHandle refuse(AnswerSink sink) {
        sink.declined(Quote.UNAVAILABLE);
        return () -> {};
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mListener =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                FrameChannel.initializer(
                                        mLoop, c -> new ServedLink(c, new Requests())))
                        .bind(mConfig.peers().host(), mConfig.peers().port())
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Returns the port that other nodes use.
     *
     * @return the TCP port bound
     */
    public int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    /**
     * Returns the threads that carry traffic between nodes.
     *
     * @return the group, owned by this service
     */
    public EventLoopGroup group() {
        return mGroup;
    }

    /**
     * Registers who serves other nodes' attempts.
     *
     * @param submitter the server
     */
    public void onSubmit(Submitter submitter) {
        mSubmitter = submitter;
    }

    /**
     * Registers who serves other nodes' calls with tickets.
     *
     * @param runner the server
     */
    public void onTicket(TicketRunner runner) {
        mTicketRunner = runner;
    }

    /**
     * Registers who takes frames of one kind.
     *
     * @param kind the kind
     * @param handler takes the frames
     */
    public void onNews(PeerProto.Frame.BodyCase kind, NewsHandler handler) {
        mNews.put(kind, handler);
    }

    /**
     * Sends an attempt to another node.
     *
     * @param node the node's id
     * @param server the backend server's id
     * @param call the call
     * @param firmness how firmly to ask
     * @param sink receives the answer
     * @return withdraws the attempt
     */
    public CallHandle submit(
            String node, String server, Call call, Firmness firmness, AnswerSink sink) {
        PeerProto.Submit submit =
                PeerProto.Submit.newBuilder()
                        .setServer(server)
                        .setAsk(firmness.ask().ordinal())
                        .setUses(firmness.uses())
                        .setCall(PeerCodec.call(call))
                        .build();
        return call(node, PeerProto.Frame.newBuilder().setSubmit(submit), sink);
    }

    /**
     * Sends a call with a ticket to the node that may answer for it.
     *
     * @param node the node's id
     * @param ticket the ticket
     * @param call the call
     * @param sink receives the answer; declined if that node doesn't answer for the ticket
     * @return withdraws the call
     */
    public CallHandle runTicket(String node, String ticket, Call call, AnswerSink sink) {
        PeerProto.RunTicket run =
                PeerProto.RunTicket.newBuilder()
                        .setTicket(ticket)
                        .setCall(PeerCodec.call(call))
                        .build();
        return call(node, PeerProto.Frame.newBuilder().setRunTicket(run), sink);
    }

    private CallHandle call(String node, PeerProto.Frame.Builder frame, AnswerSink sink) {
        Optional<PeerLink> link = link(node);
        if (link.isEmpty()) {
            sink.failed(shouldBeReachable("node " + node, RunState.NOT_RUN, "it isn't listed"));
            return () -> {};
        }
        return link.get().call(frame, sink);
    }

    /**
     * Sends a frame that belongs to no call; it may be lost.
     *
     * @param node the receiver's id
     * @param frame the frame
     */
    public void send(String node, PeerProto.Frame frame) {
        link(node).ifPresent(l -> l.send(frame));
    }

    private Optional<PeerLink> link(String node) {
        PeerLink open = mLinks.get(node);
        return open != null ? Optional.of(open) : mFleet.view().vms().find(node).map(this::open);
    }

    private PeerLink open(Vm node) {
        AtomicReference<PeerLink> self = new AtomicReference<>();
        PeerLink link =
                new PeerLink(
                        node.id(),
                        frame -> news(node.id(), frame, f -> send(node.id(), f)),
                        () -> mLinks.remove(node.id(), self.get()));
        self.set(link);
        mLinks.put(node.id(), link);
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConfig.limits().connectMillis())
                .handler(FrameChannel.initializer(mLoop, c -> linkOpened(link, c)))
                .connect(node.host(), node.port())
                .addListener(
                        (ChannelFuture f) -> {
                            if (!f.isSuccess()) {
                                mLoop.run(() -> link.unopened(f.cause()));
                            }
                        });
        return link;
    }

    private FrameHandler linkOpened(PeerLink link, FrameChannel channel) {
        channel.write(
                PeerProto.Frame.newBuilder()
                        .setHello(PeerProto.Hello.newBuilder().setNode(mConfig.nodeId()))
                        .build());
        mLoop.run(() -> link.opened(channel));
        return link;
    }

    private void news(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
        NewsHandler handler = mNews.get(frame.getBodyCase());
        if (handler != null) {
            handler.take(node, frame, reply);
        }
    }

    /** Serves other nodes by way of the registered services. */
    private final class Requests implements PeerRequests {
        @Override
        public CallHandle submit(String server, Call call, Firmness firmness, AnswerSink sink) {
            return mSubmitter.submit(server, call, firmness, sink);
        }

        @Override
        public CallHandle runTicket(String ticket, Call call, AnswerSink sink) {
            return mTicketRunner.run(ticket, call, sink);
        }

        @Override
        public void news(String node, PeerProto.Frame frame, Consumer<PeerProto.Frame> reply) {
            PeerService.this.news(node, frame, reply);
        }
    }

    @Override
    public void stop() {
        mLoop.await(
                () -> {
                    List.copyOf(mLinks.values()).forEach(PeerLink::close);
                    return Future.succeededFuture();
                });
        mListener.close().syncUninterruptibly();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Override
    public Object dump() {
        SortedMap<String, Object> out = new TreeMap<>();
        mLinks.forEach((node, link) -> out.put(node, link.streams() + " calls"));
        out.put("port", port());
        return out;
    }
}
