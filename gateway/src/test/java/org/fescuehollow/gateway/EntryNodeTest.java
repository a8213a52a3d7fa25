package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EntryNodeTest {
    private final TestCluster mCluster = new TestCluster();

    @AfterEach
    void close() {
        mCluster.close();
    }

    private void start(int nodes) {
        mCluster.configure(1);
        mCluster.startNodes(nodes);
    }

    @Test
    void request_reachesTheServerUnchanged() {
        EngineStandIn server = mCluster.addServer("i-1", "plain");
        start(1);
        HttpResponse<String> response = mCluster.call(0, "/pay/x?y=%20z", "id-1", "body");
        then(response.statusCode()).isEqualTo(200);
        then(response.body()).isEqualTo("answer of i-1 to body");
        then(response.headers().firstValue("X-Fescuehollow-Server-Seal")).contains("seal-i-1");
        ReceivedRequest received = server.receivedRequests().get(0);
        then(received.uri()).isEqualTo("/pay/x?y=%20z");
        then(received.headers().get("X-Fescuehollow-Expect-Instance")).isEqualTo("i-1");
    }

    @Test
    void request_getsNotFoundWithoutARoute() {
        mCluster.addServer("i-1", "plain");
        start(1);
        then(mCluster.call(0, "/none/", "id-1", "").statusCode()).isEqualTo(404);
    }

    @Test
    void request_runsOnceIfItsResponseIsLost() {
        EngineStandIn first = mCluster.addServer("i-1", "plain");
        EngineStandIn second = mCluster.addServer("i-2", "plain");
        first.onRequest(first::dropConnection);
        second.onRequest(second::dropConnection);
        start(1);
        then(mCluster.call(0, "/pay/", "id-1", "x").statusCode()).isEqualTo(502);
        then(first.receivedRequests().size() + second.receivedRequests().size()).isEqualTo(1);
    }

    @Test
    void request_goesElsewhereIfItDidNotRun() {
        EngineStandIn first = mCluster.addServer("i-1", "plain");
        EngineStandIn second = mCluster.addServer("i-2", "plain");
        first.onRequest(first::refuse);
        start(1);
        then(mCluster.call(0, "/pay/", "id-1", "x").body()).isEqualTo("answer of i-2 to x");
        then(second.receivedRequests()).hasSize(1);
    }

    @Test
    void request_thatIsIdempotentIsRetriedElsewhere() {
        EngineStandIn first = mCluster.addServer("i-1", "plain");
        EngineStandIn second = mCluster.addServer("i-2", "plain");
        first.onRequest(first::dropConnection);
        start(1);
        then(mCluster.call(0, "/read/", "id-1", "x").body()).isEqualTo("answer of i-2 to x");
        then(second.receivedRequests()).hasSize(1);
    }

    @Test
    void request_neverGetsTheResponseOfAnotherRequest() {
        EngineStandIn server = mCluster.addServer("i-1", "plain");
        server.onRequest(
                (a, r) ->
                        r.response()
                                .putHeader("X-Fescuehollow-Attempt-Id", "id-of-another")
                                .putHeader("X-Fescuehollow-Server-Seal", "seal")
                                .end("answer of another"));
        start(1);
        then(mCluster.call(0, "/pay/", "id-1", "x").statusCode()).isEqualTo(502);
    }

    @Test
    void request_thatIsIdempotentSurvivesAClosedKeepAliveConnection() {
        // GIVEN servers that close the connection after a response without announcing it
        EngineStandIn server = mCluster.addServer("i-1", "plain");
        EngineStandIn other = mCluster.addServer("i-2", "plain");
        server.onRequest((a, r) -> server.answerAndDrop(a, r));
        other.onRequest((a, r) -> other.answerAndDrop(a, r));
        start(1);
        // WHEN several requests are sent one after the other
        // THEN each gets its response
        for (int i = 0; i < 5; i++) {
            then(mCluster.call(0, "/read/", "id-" + i, "x").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void request_isRejectedIfItsBodyExceedsTheLimit() {
        EngineStandIn server = mCluster.addServer("i-1", "plain");
        start(1);
        then(mCluster.call(0, "/pay/", "id-1", "x".repeat(70_000)).statusCode()).isEqualTo(413);
        then(server.receivedRequests()).isEmpty();
    }

    @Test
    void request_forAnAdapterLoadsItFirst() {
        EngineStandIn engine = mCluster.addServer("i-1", "llm");
        start(1);
        TestCluster.await(() -> mCluster.call(0, "/chat/", "id", "x").statusCode() == 200);
        then(engine.orders().get(0)).isEqualTo("node-0 loading a1");
    }

    @Test
    void orders_comeFromOneNodeOnly() {
        EngineStandIn engine = mCluster.addServer("i-1", "llm");
        start(3);
        for (int i = 0; i < 3; i++) {
            int node = i;
            TestCluster.await(
                    () -> mCluster.call(node, "/chat/", "id-" + node, "x").statusCode() == 200);
        }
        List<String> holders =
                engine.orders().stream().map(o -> o.split(" ")[0]).distinct().toList();
        then(holders).hasSize(1);
    }

    @Test
    void stream_resumesElsewhereWithNothingLostOrRepeated() {
        // GIVEN two engines whose first stream is reset within an event
        EngineStandIn first = mCluster.addServer("i-1", "llm");
        EngineStandIn second = mCluster.addServer("i-2", "llm");
        start(1);
        TestCluster.await(() -> mCluster.call(0, "/chat/", "warm", "x").statusCode() == 200);
        first.onRequest((a, r) -> stream(first, a, r.response()));
        second.onRequest((a, r) -> stream(second, a, r.response()));
        // WHEN a request is streamed
        HttpResponse<String> response = mCluster.call(0, "/chat/", "id-1", "x");
        // THEN the client sees one complete stream
        then(response.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    }

    @Test
    void stream_isAbortedAtOnceIfItCannotResume() {
        // GIVEN two engines, of which the first resets its stream within an event and the second
        // fails
        EngineStandIn first = mCluster.addServer("i-1", "llm");
        EngineStandIn second = mCluster.addServer("i-2", "llm");
        start(1);
        TestCluster.await(() -> mCluster.call(0, "/chat/", "warm", "x").statusCode() == 200);
        first.onRequest((a, r) -> stream(first, a, r.response()));
        second.onRequest((a, r) -> second.startResponse(a, r).setStatusCode(500).end("failed"));
        // WHEN a request is streamed
        // THEN the connection of the client is closed long before the deadline
        thenThrownBy(() -> mCluster.call(0, "/chat/", "id-1", "x"))
                .hasCauseInstanceOf(IOException.class);
    }

    private static void stream(
            EngineStandIn engine, ReceivedRequest received, HttpServerResponse response) {
        response.putHeader("X-Fescuehollow-Attempt-Id", received.id())
                .putHeader("X-Fescuehollow-Server-Seal", "seal")
                .setChunked(true);
        if ("1".equals(received.headers().get("Last-Event-Id"))) {
            response.end("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            return;
        }
        response.write("id: 1\ndata: a\n\nid: 2\nda").onComplete(w -> response.reset());
    }

    @Test
    void readiness_endsWhenTheNodeDrains() throws InterruptedException {
        mCluster.addServer("i-1", "plain");
        start(1);
        Thread stop = new Thread(() -> mCluster.node(0).drainAndStop());
        stop.start();
        TestCluster.await(() -> mCluster.readiness(0) == 503);
        then(mCluster.call(0, "/pay/", "id-1", "x").headers().firstValue("Connection"))
                .contains("close");
        stop.join();
    }
}
