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
public final class FrontendService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "front";

    /** Longer than operators let connections stay idle, so that no reused one is closed. */
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    /** More than operators allow; a longer header section is refused while it is read. */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Connections that wait to be accepted; after a restart many come at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Waiting requests are offered again this often, as time alone may change a decision. */
    private static final long DISPATCH_INTERVAL_MILLIS = 25;

    private final NodeContext mNode;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final Set<HttpConnection> mConnections = new HashSet<>();
    private final Set<HttpConnection> mBusyConnections = new HashSet<>();
    private RequestContext mContext;
    private HttpServer mServer;
    private long mDispatchTimer;
    private long mSilenceTimer;

    /**
     * Creates the service.
     *
     * @param node the node
     * @param dispatcher chooses engines
     * @param residency is told of refusals
     */
    public FrontendService(NodeContext node, Dispatcher dispatcher, ResidencyTable residency) {
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
        mContext = new RequestContext(mNode, catalog, mDispatcher, mResidency, orders, exchange);
        catalog.onChange(this::onCatalogChanged);
        mNode.vertx().runOnContext(v -> onCatalogChanged());
        orders.onChange(mContext::dispatchWaiting);
        mDispatchTimer =
                mNode.vertx()
                        .setPeriodic(DISPATCH_INTERVAL_MILLIS, t -> mContext.dispatchWaiting());
        mSilenceTimer =
                mNode.vertx()
                        .setPeriodic(
                                RequestContext.SILENCE_CHECK_MILLIS,
                                t -> mContext.checkSilentStreams());
        NodeSettings.Address address = mNode.settings().listenAddress();
        mServer =
                mNode.vertx()
                        .createHttpServer(
                                new HttpServerOptions()
                                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                                        .setMaxInitialLineLength(MAX_HEADER_BYTES)
                                        .setAcceptBacklog(ACCEPT_BACKLOG)
                                        .setHandle100ContinueAutomatically(true))
                        .connectionHandler(this::onConnection)
                        .requestHandler(this::onRequest);
        mServer.listen(address.port(), address.host())
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    @Override
    public void stop() {
        mNode.vertx().cancelTimer(mDispatchTimer);
        mNode.vertx().cancelTimer(mSilenceTimer);
        mServer.close();
    }

    private void onCatalogChanged() {
        CatalogService catalog = mContext.catalog();
        mDispatcher.updateEngines(
                List.copyOf(catalog.engines()),
                s ->
                        catalog.configuration()
                                .flatMap(c -> c.findService(s))
                                .flatMap(ServiceSpec::engineSpec));
        catalog.engines().forEach(mResidency::onStoreEntry);
        mContext.dispatchWaiting();
    }

    private void onConnection(HttpConnection connection) {
        mConnections.add(connection);
        connection.closeHandler(
                v -> {
                    mConnections.remove(connection);
                    mBusyConnections.remove(connection);
                });
    }

    private void onRequest(HttpServerRequest request) {
        mBusyConnections.add(request.connection());
        request.response().endHandler(v -> mBusyConnections.remove(request.connection()));
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
                        reject(request, GatewayError.BODY_TOO_LONG);
                    }
                });
        request.endHandler(
                v -> {
                    if (!request.response().ended()) {
                        onRequestRead(request, body);
                    }
                });
    }

    private void onRequestRead(HttpServerRequest request, Buffer body) {
        Optional<Configuration> configuration = mContext.catalog().configuration();
        if (mContext.isClosed()) {
            reject(request, GatewayError.NOT_RUN);
            return;
        }
        if (configuration.isEmpty()) {
            reject(request, GatewayError.NO_CONFIGURATION);
            return;
        }
        String host = request.getHeader("Host");
        RequestHead head = RequestHead.of(request.headers());
        boolean formed =
                host != null && request.uri().startsWith("/") && !head.attemptId().isEmpty();
        if (!formed) {
            reject(request, GatewayError.BAD_FORM);
            return;
        }
        Optional<Route> route = configuration.get().findRoute(withoutPort(host), request.path());
        if (route.isEmpty()) {
            reject(request, GatewayError.NO_ROUTE);
            return;
        }
        double draw = ThreadLocalRandom.current().nextDouble();
        new ProxiedRequest(
                        mContext,
                        request,
                        body,
                        route.get(),
                        head,
                        ProxiedRequest.createNeeds(
                                mContext, route.get(), head, draw, mContext.now()))
                .start();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private void reject(HttpServerRequest request, GatewayError outcome) {
        String id = RequestHead.of(request.headers()).attemptId();
        mNode.metrics().countRequest("", outcome.code());
        mNode.log().event("rejected", "id", id, "outcome", outcome.code(), "uri", request.uri());
        new ClientResponse(mContext, request).sendError(outcome, id, 0.5);
    }

    /**
     * Tells whether this node can serve requests.
     *
     * @return true once it knows a configuration and an engine, until it leaves
     */
    public boolean isReady() {
        return !mContext.isDraining()
                && mContext.catalog().configuration().isPresent()
                && !mContext.catalog().engines().isEmpty();
    }

    /** Ends each connection with its next answer. */
    public void startDraining() {
        mContext.startDraining();
    }

    /** Takes no more requests, and closes the connections on which none is under way. */
    public void closeIdleConnections() {
        mContext.close();
        mConnections.stream()
                .filter(c -> !mBusyConnections.contains(c))
                .toList()
                .forEach(HttpConnection::close);
    }

    /**
     * Returns the requests under way.
     *
     * @return the count
     */
    public int openRequests() {
        return mContext.openRequests();
    }

    @Override
    public Object dump() {
        return Map.of("open", mContext.openRequests(), "waiting", mContext.waitQueue().size());
    }
}
