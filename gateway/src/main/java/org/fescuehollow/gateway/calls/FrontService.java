package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.fescuehollow.catalog.ClientLimits;
import org.fescuehollow.catalog.Configuration;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.catalog.ServiceSpec;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.gateway.exchange.ExchangeService;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.residency.ResidencyTable;

/** The port for callers. Used on the node's loop. */
public final class FrontService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "front";

    /** Longer than operators let connections stay idle, so that no reused one is closed. */
    private static final int IDLE_SECONDS = 60;

    /** More than operators allow; a longer header section is refused while it is read. */
    private static final int HEADER_BYTES = 64 * 1024;

    /** Connections that wait to be accepted; after a restart many come at once. */
    private static final int BACKLOG = 1_024;

    /** Waiting requests are offered again this often, as time alone may change a decision. */
    private static final long OFFER_MILLIS = 25;

    private final NodeContext mNode;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final Set<HttpConnection> mConnections = new HashSet<>();
    private final Set<HttpConnection> mBusy = new HashSet<>();
    private CallContext mContext;
    private HttpServer mServer;
    private long mTimer;
    private long mSilenceTimer;

    /**
     * Creates the service.
     *
     * @param node the node
     * @param dispatcher chooses engines
     * @param residency is told of refusals
     */
    public FrontService(NodeContext node, Dispatcher dispatcher, ResidencyTable residency) {
        mNode = node;
        mDispatcher = dispatcher;
        mResidency = residency;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        CatalogService catalog = kernel.find(CatalogService.NAME, CatalogService.class);
        OrderService orders = kernel.find(OrderService.NAME, OrderService.class);
        ExchangeService exchange = kernel.find(ExchangeService.NAME, ExchangeService.class);
        mContext = new CallContext(mNode, catalog, mDispatcher, mResidency, orders, exchange);
        catalog.onChange(this::catalogChanged);
        mNode.vertx().runOnContext(v -> catalogChanged());
        orders.onChange(mContext::offerWaiting);
        mTimer = mNode.vertx().setPeriodic(OFFER_MILLIS, t -> mContext.offerWaiting());
        mSilenceTimer =
                mNode.vertx().setPeriodic(CallContext.SILENCE_MILLIS, t -> mContext.checkSilence());
        NodeSettings.Address address = mNode.settings().callers();
        mServer =
                mNode.vertx()
                        .createHttpServer(
                                new HttpServerOptions()
                                        .setIdleTimeout(IDLE_SECONDS)
                                        .setMaxHeaderSize(HEADER_BYTES)
                                        .setMaxInitialLineLength(HEADER_BYTES)
                                        .setAcceptBacklog(BACKLOG)
                                        .setHandle100ContinueAutomatically(true))
                        .connectionHandler(this::connected)
                        .requestHandler(this::receive);
        mServer.listen(address.port(), address.host())
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    @Override
    public void stop() {
        mNode.vertx().cancelTimer(mTimer);
        mNode.vertx().cancelTimer(mSilenceTimer);
        mServer.close();
    }

    private void catalogChanged() {
        CatalogService catalog = mContext.catalog();
        mDispatcher.updateEngines(
                List.copyOf(catalog.engines()),
                s ->
                        catalog.configuration()
                                .flatMap(c -> c.findService(s))
                                .flatMap(ServiceSpec::engineSpec));
        catalog.engines().forEach(mResidency::onStoreEntry);
        mContext.offerWaiting();
    }

    private void connected(HttpConnection connection) {
        mConnections.add(connection);
        connection.closeHandler(
                v -> {
                    mConnections.remove(connection);
                    mBusy.remove(connection);
                });
    }

    private void receive(HttpServerRequest request) {
        mBusy.add(request.connection());
        request.response().endHandler(v -> mBusy.remove(request.connection()));
        int most =
                mContext.catalog()
                        .configuration()
                        .map(Configuration::clientLimits)
                        .map(ClientLimits::maxBodyBytes)
                        .orElse(Integer.MAX_VALUE);
        Buffer body = Buffer.buffer();
        request.handler(
                b -> {
                    if (body.length() + b.length() <= most) {
                        body.appendBuffer(b);
                    } else if (!request.response().ended()) {
                        refuse(request, Outcome.BODY_TOO_LONG);
                    }
                });
        request.endHandler(
                v -> {
                    if (!request.response().ended()) {
                        received(request, body);
                    }
                });
    }

    private void received(HttpServerRequest request, Buffer body) {
        Optional<Configuration> configuration = mContext.catalog().configuration();
        if (mContext.isClosed()) {
            refuse(request, Outcome.NOT_RUN);
            return;
        }
        if (configuration.isEmpty()) {
            refuse(request, Outcome.NO_CONFIGURATION);
            return;
        }
        String host = request.getHeader("Host");
        RequestHead head = RequestHead.of(request.headers());
        boolean formed =
                host != null && request.uri().startsWith("/") && !head.attemptId().isEmpty();
        if (!formed) {
            refuse(request, Outcome.BAD_FORM);
            return;
        }
        Optional<Route> route = configuration.get().findRoute(withoutPort(host), request.path());
        if (route.isEmpty()) {
            refuse(request, Outcome.NO_ROUTE);
            return;
        }
        double draw = ThreadLocalRandom.current().nextDouble();
        new CallFlow(
                        mContext,
                        request,
                        body,
                        route.get(),
                        head,
                        CallFlow.needs(mContext, route.get(), head, draw, mContext.now()))
                .start();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private void refuse(HttpServerRequest request, Outcome outcome) {
        String id = RequestHead.of(request.headers()).attemptId();
        mNode.metrics().request("", outcome.code());
        mNode.log().line("rejected", "id", id, "outcome", outcome.code(), "uri", request.uri());
        new CallAnswer(mContext, request).refuse(outcome, id, 0.5);
    }

    /**
     * Tells whether this node can serve requests.
     *
     * @return true once it knows a configuration and an engine, until it leaves
     */
    public boolean isReady() {
        return !mContext.isLeaving()
                && mContext.catalog().configuration().isPresent()
                && !mContext.catalog().engines().isEmpty();
    }

    /** Ends each connection with its next answer. */
    public void leave() {
        mContext.leave();
    }

    /** Takes no more requests, and closes the connections on which none is under way. */
    public void close() {
        mContext.close();
        mConnections.stream()
                .filter(c -> !mBusy.contains(c))
                .toList()
                .forEach(HttpConnection::close);
    }

    /**
     * Returns the requests under way.
     *
     * @return the count
     */
    public int open() {
        return mContext.open();
    }

    @Override
    public Object dump() {
        return Map.of("open", mContext.open(), "waiting", mContext.queue().size());
    }
}
