package org.fescuehollow.server;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.server.admin.AdminService;
import org.fescuehollow.server.backend.BackendClient;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.coordination.BudgetService;
import org.fescuehollow.server.coordination.CoordinationService;
import org.fescuehollow.server.coordination.CoordinatorService;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.front.FrontService;
import org.fescuehollow.server.idempotency.IdempotencyService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.membership.MembershipService;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.peer.PeerService;
import org.fescuehollow.server.routing.RoutingService;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.server.settings.SettingsSpreadService;
import org.fescuehollow.server.suspects.SuspectsService;

/**
 * Entry point of the library: builds the services of one entry process.
 *
 * <pre>{@code
 * FescuehollowServer server = FescuehollowServer.of(NodeConfig.parse("node.yaml", text));
 * server.start();
 * server.drainAndStop();
 * }</pre>
 *
 * <p>Start and stop are called from one thread, not from an event loop.
 */
public final class FescuehollowServer {
    private final Vertx mVertx;
    private final Kernel mKernel;

    private FescuehollowServer(Vertx vertx, Kernel kernel) {
        mVertx = vertx;
        mKernel = kernel;
    }

    /**
     * Builds a process's services, not yet started.
     *
     * @param config the process's settings
     * @return the server
     */
    public static FescuehollowServer of(NodeConfig config) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        NodeLoop loop = new NodeLoop(vertx);
        Metrics metrics = new Metrics();
        String incarnation = Incarnation.next();
        HttpClient client = vertx.createHttpClient(clientOptions(), poolOptions());
        BackendClient backends = new BackendClient(client, config.limits());
        Kernel kernel =
                Kernel.of(
                        new SettingsService(config, loop, client, metrics),
                        new FleetService(config, loop, client, metrics),
                        new SuspectsService(loop, metrics),
                        new PeerService(config, loop),
                        new MembershipService(config, loop, metrics),
                        new SettingsSpreadService(config, loop, metrics),
                        new BudgetService(config, loop),
                        new CoordinationService(config, loop, backends, metrics, incarnation),
                        new CoordinatorService(config),
                        new RoutingService(config, loop, metrics),
                        new IdempotencyService(config, loop, metrics, incarnation),
                        new FrontService(config, loop, metrics),
                        new AdminService(config, loop, metrics));
        return new FescuehollowServer(vertx, kernel);
    }

    private static HttpClientOptions clientOptions() {
        return new HttpClientOptions().setKeepAlive(true).setKeepAliveTimeout(15);
    }

    private static PoolOptions poolOptions() {
        return new PoolOptions().setHttp1MaxSize(512);
    }

    /** Starts all services; returns once the ports are open. */
    public void start() {
        mKernel.start();
    }

    /** Finishes requests under way, hands over to other nodes, then stops. */
    public void drainAndStop() {
        join(mKernel.find(FrontService.NAME, FrontService.class).drain());
        join(mKernel.find(IdempotencyService.NAME, IdempotencyService.class).handOver());
        mKernel.find(MembershipService.NAME, MembershipService.class).leave();
        join(mKernel.find(CoordinationService.NAME, CoordinationService.class).drain());
        stop();
    }

    private static void join(Future<?> future) {
        future.toCompletionStage().toCompletableFuture().join();
    }

    /** Stops at once. */
    public void stop() {
        mKernel.stop();
        join(mVertx.close());
    }

    /**
     * Returns the services.
     *
     * @return finds a service by name
     */
    public Kernel kernel() {
        return mKernel;
    }

    /**
     * Returns the port that callers use.
     *
     * @return the port bound
     */
    public int callersPort() {
        return mKernel.find(FrontService.NAME, FrontService.class).port();
    }

    /**
     * Returns the port that other nodes use.
     *
     * @return the TCP and UDP port bound
     */
    public int peerPort() {
        return mKernel.find(PeerService.NAME, PeerService.class).port();
    }

    /**
     * Returns the port that operators use.
     *
     * @return the port bound
     */
    public int adminPort() {
        return mKernel.find(AdminService.NAME, AdminService.class).port();
    }
}
