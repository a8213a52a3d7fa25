package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replays a request to a plain service that crashes each server and comes again at any node. */
class CrashingRequestTest {
    private static final String CRASHING_BODY = "bad";
    private static final int NODES = 2;
    private static final long CALL_INTERVAL_MILLIS = 300;
    private static final int KNOWN_AFTER_CRASHES = 3;
    private static final int MAX_REQUESTS_ONCE_KNOWN = 3;
    private static final Duration SETTLING = Duration.ofMillis(1_500);

    private final TestCluster mCluster = new TestCluster();
    private final List<EngineStandIn> mServers = new ArrayList<>();
    private final List<Long> mCrashNanos = Collections.synchronizedList(new ArrayList<>());
    private int mCalls;

    @BeforeEach
    void start() {
        IntStream.range(0, 32).forEach(i -> mServers.add(mCluster.addServer("i-" + i, "plain")));
        mServers.forEach(s -> s.onRequest((received, request) -> answer(s, received, request)));
        mCluster.configure(1);
        mCluster.startNodes(NODES);
        TestCluster.await(() -> mCluster.readiness(1) == 200);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private void answer(EngineStandIn server, ReceivedRequest received, HttpServerRequest request) {
        if (received.body().equals(CRASHING_BODY)) {
            mCrashNanos.add(System.nanoTime());
            server.crash();
        } else {
            server.answerOk(received, request);
        }
    }

    private int call(String path, String body) {
        int call = mCalls++;
        return mCluster.call(call % NODES, path, "id-" + call, body).statusCode();
    }

    private void thenIsStopped(String path) throws InterruptedException {
        for (int i = 0; i < 20; i++) {
            then(call(path, CRASHING_BODY)).isGreaterThanOrEqualTo(500);
            then(call(path, "sound")).isEqualTo(200);
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
        }
        then(mCrashNanos).hasSizeGreaterThanOrEqualTo(KNOWN_AFTER_CRASHES);
        long known = mCrashNanos.get(KNOWN_AFTER_CRASHES - 1) + SETTLING.toNanos();
        then(mCrashNanos.stream().filter(t -> t > known).count())
                .isLessThanOrEqualTo(MAX_REQUESTS_ONCE_KNOWN);
    }

    @Test
    void request_thatCrashesServersStopsReachingThem() throws InterruptedException {
        thenIsStopped("/read/x");
    }

    @Test
    void request_thatMayRunOnceAndCrashesServersStopsReachingThem() throws InterruptedException {
        thenIsStopped("/pay/x");
    }
}
