package org.fescuehollow.gateway.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.json.JsonObject;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.fescuehollow.wire.ExchangeProto.EngineLeaving;
import org.fescuehollow.wire.ExchangeProto.NodeNews;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays the start of a drain: another node reads it from the store first and tells this one,
 * which reads the engines again only later.
 */
class EngineLeavingReportTest {
    private static final JsonObject BOUNDS =
            new JsonObject().put("settlingMillis", 1_000).put("drainMillis", 200);

    private final TestCluster mCluster = new TestCluster().bounds(BOUNDS);
    private EngineStandIn mFirst;
    private EngineStandIn mSecond;
    private int mCalls;

    @BeforeEach
    void start() {
        mFirst = mCluster.addServer("i-1", "plain");
        mSecond = mCluster.addServer("i-2", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private void report(String engine, long startedMillis) {
        NodeNews message =
                NodeNews.newBuilder()
                        .setNode("node-9")
                        .setDomain("south")
                        .setIp("127.0.0.9")
                        .addLeavingEngines(
                                EngineLeaving.newBuilder()
                                        .setEngine(engine)
                                        .setStartedMs(startedMillis))
                        .build();
        mCluster.sendDatagram(0, message.toByteArray());
    }

    private int requestsAt(EngineStandIn server, int calls) {
        int before = server.receivedRequests().size();
        for (int i = 0; i < calls; i++) {
            mCluster.call(0, "/read/", "id-" + mCalls++, "x");
        }
        return server.receivedRequests().size() - before;
    }

    private boolean isUnused(EngineStandIn server) {
        return requestsAt(server, 6) == 0;
    }

    @Test
    void report_takesTheEngineOutOfUseUntilItIsRefuted() {
        then(requestsAt(mFirst, 12)).isPositive();
        report("i-1", EngineStandIn.STARTED_MILLIS);
        TestCluster.await(() -> isUnused(mFirst));
        // The engine isn't leaving as far as this node reads, so the report is dropped.
        TestCluster.await(() -> !isUnused(mFirst));
    }

    @Test
    void report_ofAnotherIncarnationChangesNothing() {
        report("i-1", EngineStandIn.STARTED_MILLIS - 1);
        report("i-2", EngineStandIn.STARTED_MILLIS);
        TestCluster.await(() -> isUnused(mSecond));
        then(requestsAt(mFirst, 6)).isEqualTo(6);
    }
}
