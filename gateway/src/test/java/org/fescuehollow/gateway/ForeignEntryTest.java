package org.fescuehollow.gateway;

import static java.util.concurrent.CompletableFuture.supplyAsync;
import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an entry of another writer that makes requests run twice, go without an answer, or
 * end at no engine though others are sound.
 */
class ForeignEntryTest {
    /** More than the sound servers run at once, so that any other is used as well. */
    private static final int REQUESTS = 40;

    private static final int ANSWER_DELAY_MILLIS = 150;

    private final ExecutorService mThreads = Executors.newFixedThreadPool(REQUESTS);

    private final TestCluster mCluster = new TestCluster();
    private EngineStandIn mSoundServer;
    private EngineStandIn mLaterServer;
    private int mWarmCalls;

    @BeforeEach
    void start() {
        mSoundServer = mCluster.addServer("p-1", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterEach
    void close() {
        mThreads.shutdownNow();
        mCluster.close();
    }

    private void putEntry(String id, String entry) {
        mCluster.store().put("servers/" + id, entry);
        // Requests at a server that was registered later show that the entry was read.
        mLaterServer = mCluster.addServer("p-2", "plain");
        TestCluster.await(this::isLaterServerInUse);
    }

    private boolean isLaterServerInUse() {
        call("warm-" + mWarmCalls++);
        return !mLaterServer.receivedRequests().isEmpty();
    }

    private void thenAllRunOnce() {
        List<String> ids = IntStream.range(0, REQUESTS).mapToObj(i -> "once-" + i).toList();
        List.of(mSoundServer, mLaterServer)
                .forEach(s -> s.onRequest((a, r) -> answerLate(s, a, r)));
        List<CompletableFuture<Integer>> calls =
                ids.stream().map(id -> supplyAsync(() -> call(id), mThreads)).toList();
        then(calls).map(CompletableFuture::join).containsOnly(200);
        then(Stream.of(mSoundServer, mLaterServer).flatMap(s -> s.receivedRequests().stream()))
                .map(EngineStandIn.ReceivedRequest::id)
                .filteredOn(ids::contains)
                .containsExactlyInAnyOrderElementsOf(ids);
    }

    private void answerLate(
            EngineStandIn server, EngineStandIn.ReceivedRequest received, HttpServerRequest r) {
        mCluster.vertx().setTimer(ANSWER_DELAY_MILLIS, t -> server.answerOk(received, r));
    }

    private int call(String id) {
        return mCluster.call(0, "/pay/", id, "x").statusCode();
    }

    private JsonObject entry() {
        return new JsonObject(mSoundServer.entry());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {":8080", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", ""})
    void entry_withAnOddAddressHarmsNoRequest(String address) {
        putEntry("odd", entry().put("address", address).encode());
        thenAllRunOnce();
    }

    @Test
    void entry_withAnIdThatNoHeaderMayHoldHarmsNoRequest() {
        putEntry("odd\r\nx: y", entry().encode());
        thenAllRunOnce();
    }

    @Test
    void entry_thatIsNestedDeeplyHarmsNoRequest() {
        putEntry("odd", "[".repeat(200_000) + "]".repeat(200_000));
        thenAllRunOnce();
    }

    @ParameterizedTest
    @ValueSource(strings = {"4294967302", "-1", "1e400", "1e999999999", "\"6\"", "null"})
    void entry_withOddSlotsHarmsNoRequest(String slots) {
        String text = entry().put("slots", 77_777).encode().replace("77777", slots);
        putEntry("odd", text.replace("127.0.0.1:", "127.0.0.9:"));
        thenAllRunOnce();
    }
}
