package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;
import org.fescuehollow.gateway.testsupport.EntryProcess;
import org.fescuehollow.gateway.testsupport.RawClient;
import org.fescuehollow.gateway.testsupport.StreamedResponse;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A planned stop of a node in a process of its own: an answer that an engine still works on is not
 * ended before the exit, whatever the engine does meanwhile.
 */
class AnswersInAStopTest {
    private static final double GRACE_SECONDS = 8;

    /** Between the final answers, 0.7 s before the end of the grace period, and the exit. */
    private static final long AFTER_FINAL_ANSWERS_MILLIS = 7_500;

    /** Without experience, a stream may be sent until 6.4 s after the signal. */
    private static final int SHORT_OBJECTIVE_MILLIS = 300;

    /** More streams than are needed to know the usual time of a route. */
    private static final int WARM_UP_STREAMS = 8;

    private static final int WARM_UP_MILLIS = 5_000;

    /** Twice this is the time until the first event after which an engine counts as silent. */
    private static final int HALF_OBJECTIVE_MILLIS = 2_400;

    /** Without experience, a stream may be sent until 1.9 s after the signal. */
    private static final int MIDDLE_OBJECTIVE_MILLIS = 1_800;

    private static final String WHOLE = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    private static final int LONG_EVENT_BYTES = 60_000;
    private static final int LONG_EVENTS = 120;

    private final TestCluster mCluster = new TestCluster();
    private final List<EngineStandIn> mEngines = new ArrayList<>();
    private EngineStandIn mServer;
    private EntryProcess mProcess;

    @AfterEach
    void close() {
        mCluster.close();
    }

    private void start() {
        mCluster.bounds(new JsonObject().put("graceSeconds", GRACE_SECONDS));
        mServer = mCluster.addServer("i-1", "plain");
        mEngines.add(mCluster.addServer("i-2", "llm"));
        mEngines.add(mCluster.addServer("i-3", "llm"));
        mCluster.configure(1);
        mProcess = mCluster.startProcess();
        TestCluster.await(() -> mCluster.callBaseModel("/chat/", "first").statusCode() == 200);
    }

    private interface Script {
        void answer(EngineStandIn engine, ReceivedRequest received, HttpServerRequest request);
    }

    private void onStream(Script script) {
        mEngines.forEach(e -> e.onRequest((received, r) -> script.answer(e, received, r)));
    }

    private long runs(String id) {
        return mEngines.stream()
                .flatMap(e -> e.receivedRequests().stream())
                .filter(r -> r.id().equals(id))
                .count();
    }

    private void later(long millis, Runnable action) {
        mCluster.vertx().setTimer(millis, t -> action.run());
    }

    private CompletableFuture<StreamedResponse> send(String path) {
        CompletableFuture<StreamedResponse> response =
                CompletableFuture.supplyAsync(() -> mCluster.stream(path, "id-1"));
        TestCluster.await(() -> runs("id-1") > 0);
        return response;
    }

    private void thenIsWhole(CompletableFuture<StreamedResponse> response) throws Exception {
        StreamedResponse received = response.get(20, TimeUnit.SECONDS);
        then(received.complete()).as(() -> mProcess.log()).isTrue();
        then(received.body()).isEqualTo(WHOLE);
        then(mProcess.awaitExit()).isZero();
    }

    /** Streams an event, is silent, and streams the others. */
    private void pauseAfterFirstEvent(
            EngineStandIn engine, ReceivedRequest received, HttpServerRequest request, long pause) {
        engine.streamOneEvent(
                received,
                request,
                r -> later(pause, () -> r.end("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")));
    }

    @ParameterizedTest
    @ValueSource(longs = {1_500, 3_000, 6_000})
    void stream_ofASilentEngineGoesOnIfNoOtherMayBeUsed(long pauseMillis) throws Exception {
        start();
        onStream((e, received, r) -> pauseAfterFirstEvent(e, received, r, pauseMillis));
        CompletableFuture<StreamedResponse> stream = send("/chat/");
        mProcess.terminate();
        thenIsWhole(stream);
        then(runs("id-1")).isEqualTo(1);
    }

    @Test
    void stream_ofASilentEngineGoesOnIfItsRouteUsuallyTakesLong() throws Exception {
        startWithLongStreams();
        onStream((e, received, r) -> pauseAfterFirstEvent(e, received, r, 3_000));
        CompletableFuture<StreamedResponse> stream = send("/chat/");
        mProcess.terminate();
        thenIsWhole(stream);
        then(runs("id-1")).isEqualTo(1);
    }

    @Test
    void stream_thatHasNotBegunStaysAtItsEngineIfNoOtherMayBeUsed() throws Exception {
        mCluster.latencyObjective(HALF_OBJECTIVE_MILLIS);
        start();
        onStream((e, received, r) -> later(6_000, () -> e.startResponse(received, r).end(WHOLE)));
        CompletableFuture<StreamedResponse> stream = send("/chat/");
        mProcess.terminate();
        thenIsWhole(stream);
        then(runs("id-1")).isEqualTo(1);
    }

    @Test
    void stream_ofASilentEngineMovesIfThereIsTime() throws Exception {
        mCluster.latencyObjective(SHORT_OBJECTIVE_MILLIS);
        start();
        onStream((e, received, r) -> e.streamOneEvent(received, r, s -> {}));
        CompletableFuture<StreamedResponse> stream = send("/chat/");
        mProcess.terminate();
        thenIsWhole(stream);
        then(runs("id-1")).isEqualTo(2);
    }

    /** There was time to leave the silent engine, and there is none once the next one refuses. */
    @Test
    void stream_thatLeftASilentEngineGoesOnIfTheNextOneRefusesIt() throws Exception {
        mCluster.latencyObjective(MIDDLE_OBJECTIVE_MILLIS);
        mEngines.add(mCluster.addServer("i-4", "llm"));
        start();
        onStream(
                (e, received, r) -> {
                    if (runs("id-1") == 2) {
                        later(1_600, () -> e.refuse(received, r));
                    } else {
                        e.streamOneEvent(received, r, s -> {});
                    }
                });
        CompletableFuture<StreamedResponse> stream = send("/chat/");
        mProcess.terminate();
        thenIsWhole(stream);
        then(runs("id-1")).isEqualTo(3);
    }

    /** There was time to leave the first silent engine, and there is none to leave the next one. */
    @Test
    void stream_thatLeftASilentEngineStaysAtTheNextOneIfNoOtherMayBeUsed() throws Exception {
        mCluster.latencyObjective(MIDDLE_OBJECTIVE_MILLIS).maxStreamAttempts(3);
        mEngines.add(mCluster.addServer("i-4", "llm"));
        start();
        onStream(
                (e, received, r) -> {
                    if (received.id().equals("first")) {
                        e.answerOk(received, r);
                    } else if (runs("id-1") == 2) {
                        HttpServerResponse next = e.startResponse(received, r).setChunked(true);
                        later(600, () -> next.write("id: 2\ndata: b\n\n"));
                        later(4_000, () -> next.end("id: 3\ndata: c\n\n"));
                    } else if (runs("id-1") == 1) {
                        e.streamOneEvent(received, r, s -> {});
                    }
                });
        CompletableFuture<StreamedResponse> stream = send("/chat/");
        mProcess.terminate();
        thenIsWhole(stream);
        then(runs("id-1")).isEqualTo(2);
    }

    private void startWithLongStreams() {
        mCluster.latencyObjective(SHORT_OBJECTIVE_MILLIS);
        start();
        onStream(this::streamForLong);
        IntStream.range(0, WARM_UP_STREAMS)
                .mapToObj(i -> CompletableFuture.runAsync(() -> warmUp("warm-" + i)))
                .toList()
                .forEach(CompletableFuture::join);
    }

    private void warmUp(String id) {
        then(mCluster.stream("/chat/", id).complete()).isTrue();
    }

    private void streamForLong(
            EngineStandIn engine, ReceivedRequest received, HttpServerRequest request) {
        HttpServerResponse response = engine.startResponse(received, request).setChunked(true);
        int interval = 250;
        int events = WARM_UP_MILLIS / interval;
        for (int i = 1; i < events; i++) {
            String event = "id: " + i + "\ndata: x\n\n";
            later((long) i * interval, () -> response.write(event));
        }
        later(WARM_UP_MILLIS, () -> response.end("id: " + events + "\ndata: x\n\n"));
    }

    @Test
    void stream_ofASlowReaderGoesOnIfNoOtherEngineMayBeUsed() throws Exception {
        start();
        String data = "x".repeat(LONG_EVENT_BYTES);
        String events =
                IntStream.rangeClosed(1, LONG_EVENTS)
                        .mapToObj(i -> "id: " + i + "\ndata: " + data + "\n\n")
                        .collect(Collectors.joining());
        onStream((e, received, r) -> e.startResponse(received, r).end(Buffer.buffer(events)));
        CountDownLatch read = new CountDownLatch(1);
        CompletableFuture<StreamedResponse> stream =
                CompletableFuture.supplyAsync(() -> mCluster.streamAfter(read, "/chat/", "id-1"));
        TestCluster.await(() -> runs("id-1") > 0);
        mProcess.terminate();
        TimeUnit.SECONDS.sleep(4);
        read.countDown();
        StreamedResponse received = stream.get(20, TimeUnit.SECONDS);
        then(received.complete()).as(() -> mProcess.log()).isTrue();
        then(received.body().length()).isEqualTo(events.length());
        then(runs("id-1")).isEqualTo(1);
    }

    /** Ends the body of a response after the final answers, by the time of the signal. */
    private void terminateAndEnd(CompletableFuture<HttpServerResponse> response, String rest) {
        TestCluster.await(response::isDone);
        mProcess.terminate();
        later(AFTER_FINAL_ANSWERS_MILLIS, () -> response.join().end(rest));
    }

    private void thenFinalAnswersCameBefore() throws InterruptedException {
        then(mProcess.awaitExit()).isZero();
        then(mProcess.log()).contains("event=final_answers open=1 ");
    }

    @ParameterizedTest
    @ValueSource(strings = {"/chat/", "/talk/"})
    void stream_thatEndsShortlyBeforeTheExitIsWhole(String path) throws Exception {
        start();
        CompletableFuture<HttpServerResponse> begun = new CompletableFuture<>();
        onStream((e, received, r) -> e.streamOneEvent(received, r, begun::complete));
        CompletableFuture<StreamedResponse> stream = send(path);
        terminateAndEnd(begun, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        thenIsWhole(stream);
        thenFinalAnswersCameBefore();
    }

    @Test
    void body_thatEndsShortlyBeforeTheExitIsWhole() throws Exception {
        start();
        // Longer than what a node buffers before it relays a body.
        String start = "x".repeat(400_000);
        CompletableFuture<HttpServerResponse> begun = new CompletableFuture<>();
        mServer.onRequest(
                (received, request) -> {
                    HttpServerResponse response =
                            mServer.startResponse(received, request).setChunked(true);
                    response.write(start).onSuccess(v -> begun.complete(response));
                });
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> mCluster.call(0, "/pay/", "id-1", "x"));
        terminateAndEnd(begun, "end");
        then(response.get(20, TimeUnit.SECONDS).body()).isEqualTo(start + "end");
        thenFinalAnswersCameBefore();
    }

    @Test
    void answer_thatHasNotBegunComesBeforeStreamsAreCut() throws Exception {
        start();
        onStream((e, received, r) -> e.streamOneEvent(received, r, s -> {}));
        mServer.onRequest((received, request) -> {});
        CompletableFuture<StreamedResponse> stream = send("/chat/");
        CompletableFuture<HttpResponse<String>> plain =
                CompletableFuture.supplyAsync(() -> mCluster.call(0, "/read/", "id-2", "x"));
        TestCluster.await(() -> !mServer.receivedRequests().isEmpty());
        mProcess.terminate();
        then(plain.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
        then(stream).isNotDone();
        then(stream.get(20, TimeUnit.SECONDS).complete()).isFalse();
        then(mProcess.awaitExit()).isZero();
        then(mProcess.log()).contains("outcome=aborted detail=\"answer_lost EXIT\"");
    }

    @Test
    void failure_ofAnEngineIsDeliveredIfNoOtherMayBeUsed() throws Exception {
        start();
        mCluster.addServer("i-4", "plain");
        mServer.onRequest(
                (received, request) ->
                        later(
                                1_000,
                                () ->
                                        mServer.startResponse(received, request)
                                                .setStatusCode(500)
                                                .end("failure")));
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> mCluster.call(0, "/read/", "id-1", "x"));
        TestCluster.await(() -> !mServer.receivedRequests().isEmpty());
        mProcess.terminate();
        then(response.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(500);
        then(response.get().body()).isEqualTo("failure");
    }

    private static String plainRequest(String id, String body) {
        return "POST /read/ HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: "
                + body.length()
                + "\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\n\r\n"
                + body;
    }

    /** The connection counts as idle between the two requests only if nothing is read on it. */
    @Test
    void request_thatIsPipelinedBehindAnAnswerBeforeTheStopIsAnswered() throws IOException {
        start();
        mServer.onRequest(
                (received, request) ->
                        later(
                                received.id().equals("id-1") ? 300 : 5_000,
                                () -> mServer.answerOk(received, request)));
        String requests = plainRequest("id-1", "x") + plainRequest("id-2", "x");
        try (RawClient client = RawClient.send(mCluster.listenPort(), requests)) {
            TestCluster.await(() -> mServer.receivedRequests().size() == 2);
            mProcess.terminate();
            String answer = "answer of i-1 to x";
            then(client.read(100_000).split(answer, -1)).hasSize(3);
        }
    }

    /** The head of the stream was sent before the stop, so it announced no close. */
    @ParameterizedTest
    @ValueSource(strings = {"", "x"})
    void request_thatIsPipelinedBehindAStreamIsAnsweredIfPassedOn(String body) {
        mCluster.latencyObjective(SHORT_OBJECTIVE_MILLIS);
        start();
        onStream((e, received, r) -> pauseAfterFirstEvent(e, received, r, 600));
        mServer.onRequest(
                (received, request) -> later(300, () -> mServer.answerOk(received, request)));
        openConnectionsToServer();
        String requests = RawClient.request("/chat/", "id-1", 60_000) + plainRequest("id-2", body);
        try (RawClient client = RawClient.send(mCluster.listenPort(), requests)) {
            TestCluster.await(() -> runs("id-1") > 0);
            mProcess.terminate();
            String responses = client.read(100_000);
            then(responses).contains("id: 3\ndata: c\n\n");
            then(responses.split("HTTP/1.1 ", -1)).hasSize(3);
            long passedOn =
                    mServer.receivedRequests().stream().filter(r -> r.id().equals("id-2")).count();
            then(responses.split("answer of i-1 to ", -1)).hasSize((int) passedOn + 1);
        }
    }

    private void openConnectionsToServer() {
        then(mCluster.call(0, "/read/", "warm", "x").statusCode()).isEqualTo(200);
    }
}
