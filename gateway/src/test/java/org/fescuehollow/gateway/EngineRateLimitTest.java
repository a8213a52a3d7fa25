package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replays an engine in need that names the rate of requests that it takes from all nodes. */
class EngineRateLimitTest {
    private static final int NODES = 3;
    private static final double PER_SECOND = 1;
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** One and a half times what the rate allows, and five requests. */
    private static final int MAX_IN_WINDOW = (int) (1.5 * PER_SECOND * WINDOW.toSeconds() + 5);

    /** Requests of a node count from this time after it was told the rate. */
    private static final Duration TOLD = Duration.ofMillis(500);

    private static final int CALL_INTERVAL_MILLIS = 40;

    private final TestCluster mCluster = new TestCluster();
    private final Map<Integer, Long> mToldNanos = new ConcurrentHashMap<>();
    private final List<Long> mCounted = Collections.synchronizedList(new ArrayList<>());
    private EngineStandIn mLimited;
    private volatile boolean mNamesRate = true;
    private int mCalls;

    @BeforeEach
    void start() {
        mLimited = mCluster.addServer("i-1", "plain");
        mCluster.addServer("i-2", "plain");
        mLimited.onRequest(this::answer);
        mCluster.configure(1);
        mCluster.startNodes(NODES);
        for (int i = 0; i < NODES; i++) {
            int node = i;
            TestCluster.await(() -> mCluster.readiness(node) == 200);
        }
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private void answer(ReceivedRequest received, HttpServerRequest request) {
        int node = Integer.parseInt(received.id().substring(0, 1));
        long now = System.nanoTime();
        if (mNamesRate) {
            request.response().putHeader("Server-Limit", String.valueOf(PER_SECOND));
            Long told = mToldNanos.putIfAbsent(node, now);
            if (told != null && now - told > TOLD.toNanos()) {
                mCounted.add(now);
            }
        }
        mLimited.answerOk(received, request);
    }

    private void call(Duration time) throws InterruptedException {
        long end = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < end) {
            int node = mCalls % NODES;
            String id = node + "-" + mCalls++;
            then(mCluster.call(node, "/read/", id, id).statusCode()).isEqualTo(200);
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
        }
    }

    private long mostInAWindow() {
        return mCounted.stream()
                .mapToLong(
                        start ->
                                mCounted.stream()
                                        .filter(t -> t >= start && t - start <= WINDOW.toNanos())
                                        .count())
                .max()
                .orElse(0);
    }

    @Test
    void engine_getsNoMoreRequestsThanItTakesFromAllNodes() throws InterruptedException {
        call(Duration.ofSeconds(10));
        then(mToldNanos).isNotEmpty();
        then(mostInAWindow()).isBetween(1L, (long) MAX_IN_WINDOW);
    }

    @Test
    void engine_getsRequestsAsBeforeOnceItNamesNoRate() throws InterruptedException {
        call(Duration.ofSeconds(5));
        mNamesRate = false;
        call(Duration.ofSeconds(10));
        int before = mLimited.receivedRequests().size();
        call(Duration.ofSeconds(4));
        then(mLimited.receivedRequests().size() - before).isGreaterThan(2 * MAX_IN_WINDOW);
    }
}
