package org.fescuehollow.gateway.calls;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.fescuehollow.catalog.ClientLimits;
import org.fescuehollow.catalog.Configuration;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.catalog.ServiceSpec;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.drain.DrainSchedule;
import org.fescuehollow.gateway.exchange.ExchangeService;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.residency.ResidencyTable;
import org.fescuehollow.suspects.CrashTraits;
import org.fescuehollow.versions.StreamOrigins;

/** Accepts the requests of clients. Not thread-safe; used on the node's event loop. */
public final class FrontendService implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "front";

    /**
     * Longer than the idle timeout that operators configure, so that no connection is closed while
     * it may be reused.
     */
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    /**
     * Above the limits that operators configure; a longer header section is rejected while it is
     * read.
     */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Connections that wait to be accepted; many arrive at once after a restart. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * Time between two attempts to place the waiting requests, as decisions also depend on the
     * time.
     */
    private static final long DISPATCH_INTERVAL_MILLIS = 25;

    private final NodeContext mNode;
    private final Dispatcher mDispatcher;
    private final ResidencyTable mResidency;
    private final CrashTraits mCrashTraits;
    private final StreamOrigins mOrigins;
    private RequestContext mContext;
    private HttpServer mServer;
    private long mDispatchTimer;
    private long mSilenceTimer;

    /**
     * Creates the service.
     *
     * @param node the context of the node
     * @param dispatcher the dispatcher, which chooses engines
     * @param residency the table that records adapters that engines lack
     * @param crashTraits the evidence for traits of requests that crash engines
     * @param origins the software versions at which streams began
     */
    public FrontendService(
            NodeContext node,
            Dispatcher dispatcher,
            ResidencyTable residency,
            CrashTraits crashTraits,
            StreamOrigins origins) {
        mNode = node;
        mDispatcher = dispatcher;
        mResidency = residency;
        mCrashTraits = crashTraits;
        mOrigins = origins;
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
        CrashGuard crashGuard = new CrashGuard(mNode, catalog, mCrashTraits, exchange.suspicions());
        StreamVersions versions =
                new StreamVersions(mNode, catalog.versions(), mOrigins, exchange.origins());
        mContext =
                new RequestContext(
                        mNode,
                        catalog,
                        mDispatcher,
                        mResidency,
                        orders,
                        exchange,
                        crashGuard,
                        versions);
        exchange.suspicions().onBlocked(mContext::abandonBlocked);
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
        catalog.versions().setInUse(catalog.engines());
        mContext.tellAmbiguousVersions();
        mContext.dispatchWaiting();
    }

    private void onConnection(HttpConnection connection) {
        mContext.connections().onOpened(connection);
        connection.closeHandler(v -> mContext.connections().onClosed(connection));
    }

    private void onRequest(HttpServerRequest request) {
        if (!mContext.connections().tryBegin(request)) {
            return;
        }
        request.response().endHandler(v -> mContext.connections().onResponseEnded(request));
        int maxBodyBytes =
                mContext.catalog()
                        .configuration()
                        .map(Configuration::clientLimits)
                        .map(ClientLimits::maxBodyBytes)
                        .orElse(Integer.MAX_VALUE);
        Buffer body = Buffer.buffer();
        request.handler(
                b -> {
                    if (body.length() + b.length() <= maxBodyBytes) {
                        body.appendBuffer(b);
                    } else if (!request.response().ended()) {
                        reject(request, GatewayError.BODY_TOO_LONG);
                    }
                });
        String id = RequestHead.attemptId(request.headers());
        RequestGuard guard =
                new RequestGuard(mNode, id, e -> reject(request, GatewayError.NOT_RUN));
        request.endHandler(
                guard.handler(
                        v -> {
                            if (!request.response().ended()) {
                                onRequestRead(request, body);
                            }
                        }));
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
        boolean wellFormed =
                host != null && request.uri().startsWith("/") && !head.attemptId().isEmpty();
        if (!wellFormed) {
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
                        DispatchRequests.of(mContext, route.get(), head, draw, mContext.now()))
                .start();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private void reject(HttpServerRequest request, GatewayError error) {
        String id = RequestHead.attemptId(request.headers());
        mNode.metrics().countRequest("", error.code());
        mNode.log().event("rejected", "id", id, "outcome", error.code(), "uri", request.uri());
        new ClientResponse(mContext, request).sendError(error, id, 0.5);
    }

    /**
     * Returns whether this node can serve requests.
     *
     * @return true from when it knows a configuration and an engine until it drains
     */
    public boolean isReady() {
        return !mContext.isDraining()
                && mContext.catalog().configuration().isPresent()
                && !mContext.catalog().engines().isEmpty();
    }

    /**
     * Starts a planned stop: each connection is closed after its next response.
     *
     * @param schedule the phases of the stop
     * @return completes once the process may exit
     */
    public Future<Void> drain(DrainSchedule schedule) {
        return new Drain(mContext, schedule, this::closeIdleConnections).start();
    }

    private void closeIdleConnections() {
        mContext.connections().idle().forEach(HttpConnection::close);
    }

    @Override
    public Object dump() {
        return Map.of(
                "open",
                mContext.openRequests(),
                "waiting",
                mContext.waitQueue().size(),
                "engineRates",
                mDispatcher.rates().inForce(),
                "blockedTraits",
                mCrashTraits.blocked(mContext.now()).stream().map(Long::toHexString).toList());
    }
}
