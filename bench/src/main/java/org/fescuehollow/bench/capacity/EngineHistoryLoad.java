package org.fescuehollow.bench.capacity;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.platform.EngineCodec;
import org.fescuehollow.platform.EngineHistorySample;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StoreKeys;
import org.fescuehollow.platform.StorePage;
import org.fescuehollow.versions.VersionReplay;

/**
 * Measures what a process that has just started spends on the changes that the store still keeps.
 * The first reading is of code that isn't compiled yet, as at a start.
 *
 * <p>Not safe for concurrent use.
 */
final class EngineHistoryLoad implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);

    private final Vertx mServerVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Buffer mPage;
    private final StoreClient mStore;

    /**
     * Creates a store that keeps some changes of each engine.
     *
     * @param engines the number of engines
     * @param writes the number of changes of each
     */
    EngineHistoryLoad(int engines, int writes) {
        mPage = EngineHistorySample.page(engines, writes);
        HttpServer server =
                mServerVertx
                        .createHttpServer()
                        .requestHandler(r -> r.response().end(mPage))
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join();
        mStore = new StoreClient(mVertx.createHttpClient(), "127.0.0.1", server.actualPort());
    }

    int bytes() {
        return mPage.length();
    }

    /** Reads the changes once, and returns the processor time of the event loop in milliseconds. */
    double readMillis() {
        CompletableFuture<Double> result = new CompletableFuture<>();
        mVertx.runOnContext(
                v -> {
                    long before = cpuNanos();
                    mStore.watch(StoreKeys.ENGINES, 0, 0, TIMEOUT_MILLIS)
                            .map(this::replay)
                            .onSuccess(r -> result.complete((cpuNanos() - before) / 1e6))
                            .onFailure(result::completeExceptionally);
                });
        return result.join();
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private VersionReplay.Result replay(StorePage page) {
        List<VersionReplay.Event> events = page.items().stream().map(this::event).toList();
        return VersionReplay.replay(List.of(), events, 0, HEARTBEAT);
    }

    private VersionReplay.Event event(StoreItem item) {
        return new VersionReplay.Event(
                item.key(),
                item.created(),
                item.value().map(v -> EngineCodec.decodeEntry(item.key(), v)),
                item.removed());
    }

    /** Returns the median of some readings, in milliseconds. */
    double medianMillis(int readings) {
        List<Double> all =
                IntStream.range(0, readings)
                        .mapToObj(i -> readMillis())
                        .sorted()
                        .collect(Collectors.toList());
        return all.get(readings / 2);
    }

    @Override
    public void close() {
        List.of(mVertx, mServerVertx)
                .forEach(v -> v.close().toCompletionStage().toCompletableFuture().join());
    }
}
