package org.fescuehollow.gateway.store;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.OutputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.fescuehollow.catalog.HistorySearch;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.gateway.metrics.GatewayMetrics;
import org.fescuehollow.gateway.node.NodeClock;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.gateway.testsupport.StoreStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.versions.VersionRegistry;
import org.fescuehollow.versions.VersionShares;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Replays the start of a process that has to know at which version streams before it began. */
class EngineHistoryTest {
    private static final Duration STREAM_LIFE = Duration.ofSeconds(15);
    private static final String ID = "ab7c31d901e2f455";

    /** More than the heartbeats of a stream's life and the adoption delay. */
    private static final int BEATS = 18;

    private final Vertx mVertx = Vertx.vertx();
    private final StoreStandIn mStore = new StoreStandIn(mVertx);
    private final Map<String, Integer> mWrites = new HashMap<>();
    private String mNode = "node-0";
    private CatalogService mCatalog;

    @AfterEach
    void close() {
        mCatalog.stop();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void write(String id, String version) {
        JsonObject entry =
                new JsonObject()
                        .put("service", "llm")
                        .put("address", "127.0.0.1:8080")
                        .put("zone", "north")
                        .put("version", version)
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("seq-no", mWrites.merge(id, 1, Integer::sum))
                        .put("born", 1_000)
                        .put("models", new JsonArray().add(model()));
        mStore.put("servers/" + id, entry.encode());
    }

    private static JsonObject model() {
        return new JsonObject().put("name", "m").put("version", 1).put("adapters", new JsonArray());
    }

    /** Lets engines of two versions write their entries. */
    private void beat(int times) {
        for (int i = 0; i < times; i++) {
            write("i-1", "v1");
            write("i-2", "v2");
            write("i-3", "v2");
        }
    }

    private void start() {
        JsonObject settings =
                new JsonObject()
                        .put("node", mNode)
                        .put("domain", "north")
                        .put("ip", "127.0.0.1")
                        .put("callers", "127.0.0.1:1")
                        .put("readiness", "127.0.0.1:2")
                        .put("exchangePorts", new JsonArray().add(3))
                        .put("store", mStore.address());
        NodeContext context =
                new NodeContext(
                        mVertx,
                        mVertx.createHttpClient(),
                        null,
                        null,
                        new NodeClock(),
                        NodeSettings.parse(settings.encode()),
                        new EventLog(OutputStream.nullOutputStream()),
                        new GatewayMetrics());
        mCatalog = new CatalogService(context);
        mCatalog.start(null);
    }

    private <T> T ask(Function<VersionRegistry, T> question) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mVertx.runOnContext(v -> result.complete(question.apply(mCatalog.versions())));
        return result.join();
    }

    private Optional<String> derive(String id) {
        return ask(r -> r.derive("llm", "m", id, STREAM_LIFE, System.nanoTime()));
    }

    private static String pick(String id, Map<String, Integer> engines) {
        return new VersionShares(engines).pick(id).orElseThrow();
    }

    /** Returns the calls of a watch that doesn't wait, as only the search for old changes makes. */
    private List<String> historyCalls() {
        return mStore.calls().stream().filter(c -> c.endsWith("wait-ms=0")).toList();
    }

    private boolean isSearchOver() {
        List<String> calls = historyCalls();
        return calls.size() == HistorySearch.MAX_CALLS || calls.stream().anyMatch(c -> reads(c));
    }

    private static boolean reads(String call) {
        return call.contains("prefix=servers%2F&");
    }

    /** Waits for longer than the search takes, and returns whether versions can be derived. */
    private boolean isKnownAfterTheSearch() throws Exception {
        TestCluster.await(this::isSearchOver);
        Thread.sleep(300);
        return derive(ID).isPresent();
    }

    @Test
    void history_letsAFreshProcessDeriveVersions() {
        beat(BEATS);
        start();
        TestCluster.await(() -> derive(ID).isPresent());
        Map<String, Integer> shares = Map.of("v1", 1, "v2", 2);
        IntStream.range(0, 50)
                .mapToObj(i -> "id-" + i)
                .forEach(id -> then(derive(id)).contains(pick(id, shares)));
        then(historyCalls()).hasSize(1).allMatch(c -> c.contains("after=0"));
    }

    @Test
    void history_tellsOfEnginesThatHaveLeft() {
        beat(BEATS);
        IntStream.range(0, BEATS).forEach(i -> write("i-4", "v0"));
        mStore.remove("servers/i-4");
        beat(3);
        start();
        TestCluster.await(() -> derive(ID).isPresent());
        Map<String, Integer> before = Map.of("v0", 1, "v1", 1, "v2", 2);
        Map<String, Integer> now = Map.of("v1", 1, "v2", 2);
        for (int i = 0; i < 50; i++) {
            String id = "id-" + i;
            String version = pick(id, now);
            Optional<String> certain = Optional.of(version).filter(v -> pick(id, before).equals(v));
            then(derive(id)).isEqualTo(certain);
        }
    }

    @Test
    void history_thatIsPartlyGoneIsSearched() {
        beat(200);
        mStore.keepChanges(60 * 3);
        start();
        TestCluster.await(() -> derive(ID).isPresent());
        List<String> calls = historyCalls();
        then(calls.size()).isBetween(2, HistorySearch.MAX_CALLS);
        then(calls.stream().filter(EngineHistoryTest::reads)).hasSize(1);
        then(calls.get(calls.size() - 1)).matches(EngineHistoryTest::reads);
    }

    @Test
    void history_thatIsTooShortIsNotEnough() throws Exception {
        beat(200);
        mStore.keepChanges(12);
        start();
        then(isKnownAfterTheSearch()).isFalse();
    }

    @Test
    void history_thatIsGoneCostsFewCalls() throws Exception {
        beat(BEATS);
        mStore.keepChanges(0);
        start();
        then(isKnownAfterTheSearch()).isFalse();
        then(historyCalls()).hasSize(HistorySearch.MAX_CALLS);
        then(mCatalog.engines()).hasSize(3);
    }

    @Test
    void history_isReadOnlyOnce() throws Exception {
        beat(BEATS);
        start();
        TestCluster.await(() -> derive(ID).isPresent());
        beat(2);
        mStore.keepChanges(0);
        beat(2);
        Thread.sleep(2_000);
        then(historyCalls()).hasSize(1);
    }

    @Test
    void history_ofAnotherEraIsIgnored() throws Exception {
        mNode =
                IntStream.range(0, 1_000)
                        .mapToObj(i -> "node-" + i)
                        .filter(n -> Math.floorMod(Rendezvous.hash(n), 200) >= 190)
                        .findFirst()
                        .orElseThrow();
        beat(BEATS);
        start();
        TestCluster.await(
                () -> mStore.calls().stream().anyMatch(c -> c.contains("kv-range?prefix=servers")));
        mStore.returnTo(mStore.copy());
        then(isKnownAfterTheSearch()).isFalse();
    }

    @Test
    void history_withEntriesThatNameNoEngineIsRead() {
        mStore.put("servers/other", "unreadable");
        beat(BEATS);
        mStore.put("servers/other", "[]");
        start();
        TestCluster.await(() -> derive(ID).isPresent());
        then(derive(ID)).contains(pick(ID, Map.of("v1", 1, "v2", 2)));
    }
}
