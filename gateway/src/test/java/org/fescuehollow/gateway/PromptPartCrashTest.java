package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replays requests that are all different but share a prompt part that crashes engines. */
class PromptPartCrashTest {
    private static final String SHARED_PART = "aa";
    private static final String CRASHING_PART = "bad0";
    private static final int NODES = 2;

    /** Crashes until the part is known, and further requests that may be on their way then. */
    private static final int MAX_CRASHING_REQUESTS = 5 + 3;

    private final TestCluster mCluster =
            new TestCluster().bounds(new JsonObject().put("settlingMillis", 300));
    private final List<EngineStandIn> mEngines = new ArrayList<>();
    private int mCalls;

    @BeforeEach
    void start() {
        IntStream.range(0, 10).forEach(i -> mEngines.add(mCluster.addServer("i-" + i, "llm")));
        mEngines.forEach(e -> e.onRequest((received, request) -> answer(e, received, request)));
        mCluster.configure(1);
        mCluster.startNodes(NODES);
        TestCluster.await(() -> mCluster.readiness(1) == 200);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private static boolean crashes(ReceivedRequest received) {
        return received.headers().get("X-Fescuehollow-Prompt-Prefix").contains(CRASHING_PART);
    }

    private static void answer(
            EngineStandIn engine, ReceivedRequest received, HttpServerRequest request) {
        if (crashes(received)) {
            engine.dropConnection(received, request);
        } else {
            engine.answerOk(received, request);
        }
    }

    private int call(String... parts) {
        int call = mCalls++;
        return mCluster.callWithPrompt(call % NODES, "id-" + call, parts).statusCode();
    }

    @Test
    void requests_withAPartThatCrashesEnginesStopReachingThem() {
        for (int i = 0; i < 20; i++) {
            then(call(SHARED_PART, CRASHING_PART, "own" + i)).isGreaterThanOrEqualTo(500);
            then(call(SHARED_PART, "sound", "own" + i)).isEqualTo(200);
        }
        long reached =
                mEngines.stream()
                        .flatMap(e -> e.receivedRequests().stream())
                        .filter(PromptPartCrashTest::crashes)
                        .count();
        then(reached).isLessThanOrEqualTo(MAX_CRASHING_REQUESTS);
    }
}
