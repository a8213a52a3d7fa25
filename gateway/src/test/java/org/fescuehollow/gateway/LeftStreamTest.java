package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.StreamedResponse;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Streams whose first engine was left, or closed its connection by a reset. */
class LeftStreamTest {
    private static final int LONG_EVENT_BYTES = 60_000;
    private static final int EVENTS = 120;

    /** The last event of the engine that falls silent; it has sent a part of the next one. */
    private static final int LAST_OF_FIRST_ENGINE = 100;

    private final TestCluster mCluster = new TestCluster();

    @AfterEach
    void close() {
        mCluster.close();
    }

    private static String events(int from, int to) {
        String data = "x".repeat(LONG_EVENT_BYTES);
        return IntStream.rangeClosed(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: " + data + "\n\n")
                .collect(Collectors.joining());
    }

    @Test
    void stream_thatIsResetAtTheEndOfItsConnectionIsNotComplete() {
        ScriptedServer engine = mCluster.addScriptedServer("i-1", "llm", true);
        engine.onRequest(
                r ->
                        Answer.inOnePacket(
                                "HTTP/1.1 200 OK\r\nX-Fescuehollow-Attempt-Id: "
                                        + r.id()
                                        + "\r\nX-Fescuehollow-Server-Seal: s\r\n\r\n"
                                        + "id: 1\ndata: a\n\n",
                                Ending.CLOSE));
        mCluster.configure(1);
        mCluster.startNodes(1);
        then(mCluster.stream("/talk/", "id-1").complete()).isFalse();
        then(engine.requests()).isNotEmpty();
    }

    /**
     * Bytes that the first engine had sent, and that were held back for a slow client, must not be
     * joined with those of the second one.
     */
    @Test
    void stream_ofASlowClientHasNoBytesOfAnEngineThatWasLeft() {
        // GIVEN an engine that falls silent within an event, and another one
        CountDownLatch resumed = new CountDownLatch(1);
        List<EngineStandIn> engines =
                List.of(mCluster.addServer("i-1", "llm"), mCluster.addServer("i-2", "llm"));
        mCluster.configure(1);
        mCluster.startNodes(1);
        TestCluster.await(() -> mCluster.callBaseModel("/chat/", "warm").statusCode() == 200);
        engines.forEach(e -> e.onRequest((a, r) -> answer(e, a, r, resumed)));
        // WHEN a client reads only after the stream was resumed
        StreamedResponse response = mCluster.streamAfter(resumed, "/chat/", "id-1");
        // THEN it gets the events in order, each once
        then(response.complete()).isTrue();
        then(response.body().replace("x", "")).isEqualTo(events(1, EVENTS).replace("x", ""));
    }

    private void answer(
            EngineStandIn engine,
            ReceivedRequest received,
            HttpServerRequest request,
            CountDownLatch resumed) {
        HttpServerResponse response = engine.startResponse(received, request).setChunked(true);
        String last = received.headers().get("Last-Event-Id");
        if (last == null) {
            response.write(Buffer.buffer(events(1, LAST_OF_FIRST_ENGINE) + "id: "));
            return;
        }
        resumed.countDown();
        // The client reads while this engine is still silent.
        mCluster.vertx()
                .setTimer(
                        1_000,
                        t ->
                                response.end(
                                        Buffer.buffer(events(Integer.parseInt(last) + 1, EVENTS))));
    }
}
