package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.function.Consumer;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Long streams whose engine fails or becomes silent while no other engine has their adapter loaded.
 */
class LostEngineTest {
    private static final int OBJECTIVE_MILLIS = 2_000;

    /**
     * Longer than a request may wait for its first engine, so that a resumed stream needs a new
     * wait.
     */
    private static final int RESET_DELAY_MILLIS = 4_000;

    private static final String FULL_STREAM =
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

    private final Vertx mTimers = Vertx.vertx();
    private final TestCluster mCluster = new TestCluster().latencyObjective(OBJECTIVE_MILLIS);
    private List<EngineStandIn> mEngines;

    @BeforeEach
    void start() {
        mEngines = List.of(mCluster.addServer("i-1", "llm"), mCluster.addServer("i-2", "llm"));
        mCluster.configure(1);
        mCluster.startNodes(1);
        TestCluster.await(() -> mCluster.call(0, "/chat/", "warm", "x").statusCode() == 200);
    }

    @AfterEach
    void close() {
        mCluster.close();
        mTimers.close().toCompletionStage().toCompletableFuture().join();
    }

    private void afterOneEvent(Consumer<HttpServerResponse> next) {
        mEngines.forEach(e -> e.onRequest((a, r) -> e.streamOneEvent(a, r, next)));
    }

    @Test
    void stream_thatFailsLateWaitsForAnotherEngine() {
        // GIVEN engines that reset the stream long after it started
        afterOneEvent(r -> mTimers.setTimer(RESET_DELAY_MILLIS, t -> r.reset()));
        // WHEN a request is streamed
        // THEN it is resumed once another engine has loaded its adapter
        then(mCluster.call(0, "/chat/", "id-1", "x").body()).isEqualTo(FULL_STREAM);
    }

    @Test
    void stream_resumesElsewhereWhenItsEngineFallsSilent() {
        // GIVEN engines that become silent within a stream and keep the connection open
        afterOneEvent(r -> {});
        // WHEN a request is streamed
        // THEN it is resumed elsewhere long before the deadline
        then(mCluster.call(0, "/chat/", "id-1", "x").body()).isEqualTo(FULL_STREAM);
    }
}
