package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What engines say of themselves in their responses, while the store says nothing of it. */
class EngineWordsTest {
    private final TestCluster mCluster = new TestCluster();
    private EngineStandIn mFirst;
    private int mCalls;

    @BeforeEach
    void start() {
        mFirst = mCluster.addServer("i-1", "plain");
        mCluster.addServer("i-2", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private int requestsAtFirst(int calls) {
        int before = mFirst.receivedRequests().size();
        for (int i = 0; i < calls; i++) {
            String id = "id-" + mCalls++;
            then(mCluster.call(0, "/read/", id, "x").statusCode()).isEqualTo(200);
        }
        return mFirst.receivedRequests().size() - before;
    }

    @Test
    void engine_thatSaysItIsLeavingGetsNoMoreRequests() {
        mFirst.onRequest(
                (received, request) -> {
                    request.response().putHeader("Server-Leaving", "1");
                    mFirst.answerOk(received, request);
                });
        then(requestsAtFirst(12)).isEqualTo(1);
        then(requestsAtFirst(12)).isZero();
    }

    @Test
    void engine_thatWantsNoRequestsForATimeGetsNone() {
        List<Long> nanos = Collections.synchronizedList(new ArrayList<>());
        mFirst.onRequest(
                (received, request) -> {
                    nanos.add(System.nanoTime());
                    if (nanos.size() == 1) {
                        request.response().putHeader("Retry-After", "2");
                        mFirst.refuse(received, request);
                    } else {
                        mFirst.answerOk(received, request);
                    }
                });
        TestCluster.await(() -> requestsAtFirst(4) > 0 && nanos.size() > 1);
        then(Duration.ofNanos(nanos.get(1) - nanos.get(0))).isGreaterThan(Duration.ofSeconds(2));
    }
}
