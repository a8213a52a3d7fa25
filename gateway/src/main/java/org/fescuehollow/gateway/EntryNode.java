package org.fescuehollow.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.gateway.calls.FrontendService;
import org.fescuehollow.gateway.calls.ReadinessService;
import org.fescuehollow.gateway.exchange.ExchangeService;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.gateway.metrics.GatewayMetrics;
import org.fescuehollow.gateway.metrics.MetricsService;
import org.fescuehollow.gateway.node.NodeClock;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.gateway.orders.OrderService;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.residency.ResidencyTable;

/**
 * The process on an entry VM.
 *
 * <p>Start and stop are called from one thread; everything else runs on one event loop.
 */
public final class EntryNode {
    /** Connections to one server at a time; servers refuse what is beyond their own limit. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 2_000;

    /** Calls of the system's own to one server at a time. */
    private static final int MAX_CONTROL_CONNECTIONS_PER_SERVER = 4;

    /** About the time between two requests of a node for one engine; servers close later. */
    private static final int REQUEST_KEEP_ALIVE_SECONDS = 3;

    /** Below the time after which servers close idle connections. */
    private static final int CONTROL_KEEP_ALIVE_SECONDS = 4;

    /** After a request to stop: the balancer notices two misses, a second apart. */
    private static final Duration READINESS_PROPAGATION = Duration.ofMillis(2_600);

    /** Left of the grace time for the process to end. */
    private static final Duration SHUTDOWN_RESERVE = Duration.ofMillis(700);

    private static final long DRAIN_POLL_MILLIS = 50;

    private final NodeContext mContext;
    private final Kernel mKernel;

    /**
     * Creates a node.
     *
     * @param settings its settings
     */
    public EntryNode(NodeSettings settings) {
        Vertx vertx = createVertx();
        HttpClient once =
                createClient(
                        vertx,
                        new HttpClientOptions().setKeepAlive(false),
                        MAX_CONNECTIONS_PER_SERVER);
        HttpClient repeatable =
                createClient(
                        vertx,
                        keepAliveOptions(REQUEST_KEEP_ALIVE_SECONDS),
                        MAX_CONNECTIONS_PER_SERVER);
        HttpClient control =
                createClient(
                        vertx,
                        keepAliveOptions(CONTROL_KEEP_ALIVE_SECONDS),
                        MAX_CONTROL_CONNECTIONS_PER_SERVER);
        mContext =
                new NodeContext(
                        vertx,
                        once,
                        repeatable,
                        control,
                        new NodeClock(),
                        settings,
                        new EventLog(System.out),
                        new GatewayMetrics());
        ResidencyTable residency = new ResidencyTable();
        Dispatcher dispatcher = new Dispatcher(settings.domain(), residency);
        mKernel =
                Kernel.of(
                        new CatalogService(mContext),
                        new OrderService(mContext, dispatcher, residency),
                        new ExchangeService(mContext, dispatcher, residency),
                        new FrontendService(mContext, dispatcher, residency),
                        new ReadinessService(mContext),
                        new MetricsService(mContext));
    }

    private static HttpClientOptions keepAliveOptions(int idleSeconds) {
        return new HttpClientOptions().setKeepAlive(true).setKeepAliveTimeout(idleSeconds);
    }

    private static HttpClient createClient(
            Vertx vertx, HttpClientOptions options, int connections) {
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(connections).setEventLoopSize(1);
        return vertx.createHttpClient(options, pool);
    }

    private static Vertx createVertx() {
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(
                                new FileSystemOptions()
                                        .setFileCachingEnabled(false)
                                        .setClassPathResolvingEnabled(false)));
    }

    /** Starts all services; returns once the ports are open. */
    public void start() {
        mContext.log()
                .event(
                        "start",
                        "node",
                        mContext.settings().node(),
                        "domain",
                        mContext.settings().domain());
        mKernel.start();
    }

    /**
     * Reads the settings again and takes what may change while the process runs.
     *
     * @param settings the new settings
     */
    public void reload(NodeSettings settings) {
        mContext.log().event("reload", "node", settings.node(), "seeds", settings.seeds().size());
        ExchangeService exchange = mKernel.find(ExchangeService.NAME, ExchangeService.class);
        mContext.vertx().runOnContext(v -> exchange.setSeeds(settings.seeds()));
    }

    /** Takes no new connections, ends what is under way, and stops. */
    public void drainAndStop() {
        mContext.log().event("stop", "node", mContext.settings().node());
        FrontendService front = mKernel.find(FrontendService.NAME, FrontendService.class);
        OrderService orders = mKernel.find(OrderService.NAME, OrderService.class);
        ExchangeService exchange = mKernel.find(ExchangeService.NAME, ExchangeService.class);
        mContext.vertx()
                .runOnContext(
                        v -> {
                            front.startDraining();
                            orders.giveUpEngines();
                            exchange.announceLeaving();
                        });
        long grace = (long) (mContext.settings().graceSeconds() * 1e9) - SHUTDOWN_RESERVE.toNanos();
        mContext.vertx()
                .setTimer(READINESS_PROPAGATION.toMillis(), t -> front.closeIdleConnections());
        awaitDrained(front, System.nanoTime(), grace);
        mContext.log().event("stopped", "open", front.openRequests());
        mContext.log().flush();
    }

    /** Stops at once. */
    public void stop() {
        mKernel.stop();
        mContext.vertx().close().toCompletionStage().toCompletableFuture().join();
    }

    private static void awaitDrained(FrontendService front, long begun, long graceNanos) {
        try {
            while (true) {
                long waited = System.nanoTime() - begun;
                boolean quiet =
                        waited > READINESS_PROPAGATION.toNanos() && front.openRequests() == 0;
                if (quiet || waited > graceNanos) {
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Runs a node until the process is asked to stop.
     *
     * @param args {@code --train} to run for a moment on the loopback address, for the build
     * @throws InterruptedException if the wait for the end is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        if (args.length > 0 && args[0].equals("--train")) {
            CdsTraining.run();
            return;
        }
        Path file = Path.of(System.getenv(NodeSettings.SETTINGS_FILE_VARIABLE));
        EntryNode node = new EntryNode(NodeSettings.read(file));
        node.start();
        CountDownLatch stop = new CountDownLatch(1);
        Signals.handle("TERM", stop::countDown);
        Signals.handle("HUP", () -> node.reload(NodeSettings.read(file)));
        stop.await();
        node.drainAndStop();
        Runtime.getRuntime().halt(0);
    }
}
