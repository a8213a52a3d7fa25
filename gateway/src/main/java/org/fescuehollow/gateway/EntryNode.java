package org.fescuehollow.gateway;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.dispatch.Dispatcher;
import org.fescuehollow.drain.DrainSchedule;
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
import org.fescuehollow.gateway.training.CdsTraining;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.platform.ResponseGuard;
import org.fescuehollow.residency.ResidencyTable;
import org.fescuehollow.responses.HeadDefect;
import org.fescuehollow.suspects.CrashTraits;
import org.fescuehollow.versions.StreamOrigins;

/**
 * The gateway process on an entry VM.
 *
 * <p>Not thread-safe: start and stop are called from one thread; all other work runs on a single
 * event loop.
 */
public final class EntryNode {
    /** High enough not to limit requests; servers reject what exceeds their own limit. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 2_000;

    /** Connections for internal calls to one server. */
    private static final int MAX_CONTROL_CONNECTIONS_PER_SERVER = 4;

    /**
     * About the time between two requests of a node to one engine, and shorter than the idle
     * timeout of servers.
     */
    private static final int REQUEST_KEEP_ALIVE_SECONDS = 3;

    /** Shorter than the idle timeout of servers. */
    private static final int CONTROL_KEEP_ALIVE_SECONDS = 4;

    /** Streams of a minute, those of which other nodes told included. */
    private static final int MAX_STREAM_ORIGINS = 16_384;

    private final NodeContext mContext;
    private final Kernel mKernel;

    /**
     * Creates a node.
     *
     * @param settings the settings of the node
     */
    public EntryNode(NodeSettings settings) {
        Vertx vertx = createVertx();
        EventLog log = new EventLog(System.out);
        GatewayMetrics metrics = new GatewayMetrics();
        Handler<HttpConnection> guard =
                c -> ResponseGuard.install(c, d -> onHeadDefect(log, metrics, c, d));
        HttpClient once =
                createClient(
                        vertx,
                        new HttpClientOptions().setKeepAlive(false),
                        MAX_CONNECTIONS_PER_SERVER,
                        guard);
        HttpClient repeatable =
                createClient(
                        vertx,
                        keepAliveOptions(REQUEST_KEEP_ALIVE_SECONDS),
                        MAX_CONNECTIONS_PER_SERVER,
                        guard);
        HttpClient control =
                createClient(
                        vertx,
                        keepAliveOptions(CONTROL_KEEP_ALIVE_SECONDS),
                        MAX_CONTROL_CONNECTIONS_PER_SERVER,
                        guard);
        mContext =
                new NodeContext(
                        vertx, once, repeatable, control, new NodeClock(), settings, log, metrics);
        vertx.exceptionHandler(this::onUncaughtException);
        ResidencyTable residency = new ResidencyTable();
        Dispatcher dispatcher = new Dispatcher(settings.domain(), residency);
        CrashTraits crashTraits = new CrashTraits();
        StreamOrigins origins = new StreamOrigins(MAX_STREAM_ORIGINS);
        mKernel =
                Kernel.of(
                        new CatalogService(mContext),
                        new OrderService(mContext, dispatcher, residency),
                        new ExchangeService(mContext, dispatcher, residency, crashTraits, origins),
                        new FrontendService(mContext, dispatcher, residency, crashTraits, origins),
                        new ReadinessService(mContext),
                        new MetricsService(mContext));
    }

    private void onUncaughtException(Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        mContext.metrics().countEvent("uncaught_exception");
        mContext.log()
                .event(
                        "uncaught_exception",
                        "cause",
                        cause,
                        "at",
                        trace.length == 0 ? "" : trace[0]);
    }

    private static HttpClientOptions keepAliveOptions(int idleSeconds) {
        return new HttpClientOptions().setKeepAlive(true).setKeepAliveTimeout(idleSeconds);
    }

    private static HttpClient createClient(
            Vertx vertx,
            HttpClientOptions options,
            int connections,
            Handler<HttpConnection> onConnect) {
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(connections).setEventLoopSize(1);
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(onConnect)
                .build();
    }

    private static void onHeadDefect(
            EventLog log, GatewayMetrics metrics, HttpConnection connection, HeadDefect defect) {
        metrics.countEvent("head_defect");
        log.event("head_defect", "address", connection.remoteAddress(), "cause", defect.text());
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

    /** Starts all services. Returns once the ports are open. */
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
     * Applies the settings that may change while the process runs: the seeds.
     *
     * @param settings the new settings
     */
    public void reload(NodeSettings settings) {
        mContext.log().event("reload", "node", settings.node(), "seeds", settings.seeds().size());
        ExchangeService exchange = mKernel.find(ExchangeService.NAME, ExchangeService.class);
        mContext.vertx().runOnContext(v -> exchange.setSeeds(settings.seeds()));
    }

    /**
     * Drains the node and returns when the process can exit: once all requests have got their
     * answers, at the latest shortly before the grace period is over. Until then, requests are
     * refused unless they are likely to end in time.
     */
    public void drainAndStop() {
        mContext.log().event("stop", "node", mContext.settings().node());
        FrontendService frontend = mKernel.find(FrontendService.NAME, FrontendService.class);
        OrderService orders = mKernel.find(OrderService.NAME, OrderService.class);
        ExchangeService exchange = mKernel.find(ExchangeService.NAME, ExchangeService.class);
        DrainSchedule schedule =
                new DrainSchedule(
                        mContext.clock().now(), (long) (mContext.settings().graceSeconds() * 1e9));
        CountDownLatch drained = new CountDownLatch(1);
        mContext.vertx()
                .runOnContext(
                        v -> {
                            frontend.drain(schedule).onComplete(r -> drained.countDown());
                            orders.giveUpEngines();
                            exchange.announceLeaving();
                        });
        awaitDrained(drained, schedule);
        mContext.log().flush();
    }

    /** Stops all services without waiting for open requests. */
    public void stop() {
        mKernel.stop();
        mContext.vertx().close().toCompletionStage().toCompletableFuture().join();
    }

    private void awaitDrained(CountDownLatch drained, DrainSchedule schedule) {
        try {
            long waitNanos = schedule.forcedExitNanos() - mContext.clock().now();
            boolean inTime = drained.await(waitNanos, TimeUnit.NANOSECONDS);
            mContext.log().event("stopped", "drained", inTime);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Runs a node until the process is asked to stop.
     *
     * @param args {@code --train} for a CDS training run on the loopback address, used by the build
     * @throws InterruptedException if the wait for the stop signal is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        if (args.length > 0 && args[0].equals("--train")) {
            CdsTraining.run();
            return;
        }
        Path file = Path.of(System.getenv(NodeSettings.SETTINGS_FILE_VARIABLE));
        // Before the ports are open, so that no request is read that the signal would cut.
        CountDownLatch stop = new CountDownLatch(1);
        Signals.handle("TERM", stop::countDown);
        EntryNode node = new EntryNode(NodeSettings.read(file));
        node.start();
        Signals.handle("HUP", () -> node.reload(NodeSettings.read(file)));
        stop.await();
        node.drainAndStop();
        Runtime.getRuntime().halt(0);
    }
}
