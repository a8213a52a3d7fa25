package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EntryProcess;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A planned stop of a node in a process of its own: no request that was passed on ends without an
 * answer when the process exits.
 */
class LateInTheGraceTest {
    private static final int SHORT_OBJECTIVE_MILLIS = 300;
    private static final int SERVER_MILLIS = 150;
    private static final int CLIENTS = 8;
    private static final int SMALL_BUFFER_BYTES = 2_048;

    /** Less than a node buffers before it relays a response. */
    private static final int RESPONSE_BYTES = 250_000;

    private final TestCluster mCluster = new TestCluster();
    private EngineStandIn mServer;
    private EngineStandIn mEngine;
    private EntryProcess mProcess;

    @AfterEach
    void close() {
        mCluster.close();
    }

    private void start(double graceSeconds) {
        mCluster.bounds(new JsonObject().put("graceSeconds", graceSeconds));
        mServer = mCluster.addServer("i-1", "plain");
        mEngine = mCluster.addServer("i-2", "llm");
        mCluster.configure(1);
        mProcess = mCluster.startProcess();
    }

    private CompletableFuture<HttpResponse<String>> send(String path, String id) {
        int before = mServer.receivedRequests().size() + mEngine.receivedRequests().size();
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> mCluster.call(0, path, id, "x"));
        TestCluster.await(
                () ->
                        response.isDone()
                                || mServer.receivedRequests().size()
                                                + mEngine.receivedRequests().size()
                                        > before);
        return response;
    }

    private static void thenIsRefused(HttpResponse<String> response) {
        then(response.statusCode()).isEqualTo(503);
        then(response.headers().firstValue("Connection")).hasValue("close");
        then(response.headers().firstValueAsLong("Content-Length")).isPresent();
        then(response.headers().firstValue("Retry-After").map(Double::parseDouble))
                .hasValueSatisfying(s -> then(s).isLessThan(1));
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 3})
    void request_thatStillRunsAtTheEndIsLostWithAnAnswer(double graceSeconds) throws Exception {
        start(graceSeconds);
        mServer.onRequest((received, request) -> {});
        CompletableFuture<HttpResponse<String>> once = send("/pay/", "id-1");
        CompletableFuture<HttpResponse<String>> idempotent = send("/read/", "id-2");
        mProcess.terminate();
        mProcess.terminate();
        then(once.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
        then(idempotent.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
        then(mProcess.awaitExit()).isZero();
    }

    @Test
    void request_thatWaitsForAnEngineIsRefused() throws Exception {
        start(3);
        mServer.crash();
        CompletableFuture<HttpResponse<String>> waiting =
                CompletableFuture.supplyAsync(() -> mCluster.call(0, "/pay/", "id-1", "x"));
        TestCluster.await(() -> mProcess.log().contains("event=waiting id=id-1"));
        mProcess.terminate();
        thenIsRefused(waiting.get(10, TimeUnit.SECONDS));
        then(mProcess.awaitExit()).isZero();
    }

    @Test
    void request_thatMayNotBeAnsweredInTimeIsRefusedUnsent() throws Exception {
        start(3);
        mServer.onRequest((received, request) -> {});
        CompletableFuture<HttpResponse<String>> sent = send("/pay/", "id-1");
        mProcess.terminate();
        TestCluster.await(() -> mCluster.readiness(0) == 503);
        thenIsRefused(mCluster.call(0, "/pay/", "id-2", "x"));
        thenIsRefused(mCluster.call(0, "/read/", "id-3", "x"));
        thenIsRefused(mCluster.call(0, "/talk/", "id-4", "x"));
        thenIsRefused(mCluster.call(0, "/chat/", "id-5", "x"));
        then(mServer.receivedRequests()).hasSize(1);
        then(mEngine.receivedRequests()).isEmpty();
        then(sent.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
    }

    @Test
    void request_withAShortObjectiveIsServedLateInTheGrace() throws Exception {
        mCluster.latencyObjective(SHORT_OBJECTIVE_MILLIS);
        start(8);
        mServer.onRequest(
                (received, request) -> {
                    if (!received.id().equals("id-1")) {
                        mServer.answerOk(received, request);
                    }
                });
        CompletableFuture<HttpResponse<String>> first = send("/pay/", "id-1");
        mProcess.terminate();
        TimeUnit.SECONDS.sleep(5);
        then(mCluster.call(0, "/pay/", "id-2", "x").statusCode()).isEqualTo(200);
        then(mCluster.call(0, "/read/", "id-3", "x").statusCode()).isEqualTo(200);
        thenIsRefused(mCluster.call(0, "/talk/", "id-4", "x"));
        then(first.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 8})
    void request_thatEndsWithinTheGraceIsAnswered(double graceSeconds) throws Exception {
        start(graceSeconds);
        long serverMillis = (long) (graceSeconds * 600);
        mServer.onRequest(
                (received, request) ->
                        mCluster.vertx()
                                .setTimer(serverMillis, t -> mServer.answerOk(received, request)));
        CompletableFuture<HttpResponse<String>> response = send("/pay/", "id-1");
        mProcess.terminate();
        then(response.get(10, TimeUnit.SECONDS).body()).isEqualTo("answer of i-1 to x");
        then(mProcess.awaitExit()).isZero();
    }

    @Test
    void stream_thatStillRunsAtTheEndDoesNotLookComplete() throws Exception {
        start(1);
        mEngine.onRequest(
                (received, request) -> mEngine.streamOneEvent(received, request, r -> {}));
        // The first request of an adapter also loads it.
        CompletableFuture<HttpResponse<String>> stream = send("/talk/", "id-1");
        mProcess.terminate();
        thenThrownBy(() -> stream.get(10, TimeUnit.SECONDS))
                .hasRootCauseInstanceOf(IOException.class);
        then(mProcess.awaitExit()).isZero();
    }

    @Test
    void retry_thatMayNotBeAnsweredInTimeIsNotSent() throws Exception {
        EngineStandIn other = mCluster.addServer("i-3", "plain");
        start(3);
        for (EngineStandIn server : List.of(mServer, other)) {
            server.onRequest(
                    (received, request) ->
                            mCluster.vertx()
                                    .setTimer(
                                            1_000, t -> server.dropConnection(received, request)));
        }
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> mCluster.call(0, "/read/", "id-1", "x"));
        TestCluster.await(() -> mProcess.log().contains("event=sent id=id-1"));
        mProcess.terminate();
        then(response.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
        then(mServer.receivedRequests().size() + other.receivedRequests().size()).isEqualTo(1);
        then(mProcess.awaitExit()).isZero();
    }

    @Test
    void response_isWrittenToASlowReaderBeforeTheExit() throws Exception {
        mCluster.latencyObjective(SHORT_OBJECTIVE_MILLIS);
        start(8);
        String body = "x".repeat(RESPONSE_BYTES);
        mServer.onRequest(
                (received, request) -> mServer.startResponse(received, request).end(body));
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            socket.connect(new InetSocketAddress("127.0.0.1", mCluster.listenPort()));
            String request =
                    "POST /pay/ HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 1\r\n"
                            + "X-Fescuehollow-Attempt-Id: id-1\r\n\r\nx";
            mProcess.terminate();
            TestCluster.await(() -> mCluster.readiness(0) == 503);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            TimeUnit.SECONDS.sleep(5);
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            then(response).startsWith("HTTP/1.1 200 ");
            then(response.endsWith("\r\n\r\n" + body)).isTrue();
        }
        then(mProcess.awaitExit()).isZero();
    }

    @Test
    void request_thatIsHalfSentIsNotPassedOnLate() throws Exception {
        start(3);
        mServer.onRequest((received, request) -> {});
        CompletableFuture<HttpResponse<String>> sent = send("/pay/", "id-1");
        try (Socket socket = new Socket("127.0.0.1", mCluster.listenPort())) {
            String head =
                    "POST /pay/ HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n"
                            + "X-Fescuehollow-Attempt-Id: id-2\r\n\r\n";
            socket.getOutputStream().write((head + "a").getBytes(StandardCharsets.US_ASCII));
            mProcess.terminate();
            TimeUnit.SECONDS.sleep(1);
            socket.getOutputStream().write('b');
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            then(response).startsWith("HTTP/1.1 503 ").containsIgnoringCase("connection: close");
        }
        then(sent.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
        then(mServer.receivedRequests()).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/pay/", "/read/"})
    void request_thatIsPipelinedBehindAnotherIsNotPassedOn(String path) throws Exception {
        mCluster.latencyObjective(SHORT_OBJECTIVE_MILLIS);
        start(3);
        mServer.onRequest(
                (received, request) ->
                        mCluster.vertx().setTimer(500, t -> mServer.answerOk(received, request)));
        openEngineConnections(path);
        int before = mServer.receivedRequests().size();
        try (Socket socket = new Socket("127.0.0.1", mCluster.listenPort())) {
            String requests = "";
            for (int i = 1; i <= 20; i++) {
                requests +=
                        "POST "
                                + path
                                + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 1\r\n"
                                + "X-Fescuehollow-Attempt-Id: id-"
                                + i
                                + "\r\n\r\nx";
            }
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
            TestCluster.await(() -> mServer.receivedRequests().size() == before + 1);
            mProcess.terminate();
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            then(response).startsWith("HTTP/1.1 200 ").endsWith("answer of i-1 to x");
        }
        then(mProcess.awaitExit()).isZero();
        then(mServer.receivedRequests()).hasSize(before + 1);
    }

    private void openEngineConnections(String path) {
        Stream.of("warm-1", "warm-2", "warm-3")
                .map(id -> CompletableFuture.supplyAsync(() -> mCluster.call(0, path, id, "x")))
                .toList()
                .forEach(CompletableFuture::join);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 3})
    void requests_thatAreSentUntilTheExitAreAnsweredIfPassedOn(double graceSeconds)
            throws Exception {
        mCluster.latencyObjective(SHORT_OBJECTIVE_MILLIS);
        start(graceSeconds);
        mServer.onRequest(
                (received, request) ->
                        mCluster.vertx()
                                .setTimer(SERVER_MILLIS, t -> mServer.answerOk(received, request)));
        Set<String> answered = ConcurrentHashMap.newKeySet();
        AtomicBoolean stopped = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            String name = "id-" + c + "-";
            clients.add(new Thread(() -> sendUntil(stopped, name, answered)));
        }
        clients.forEach(Thread::start);
        TestCluster.await(() -> mServer.receivedRequests().size() > CLIENTS);
        mProcess.terminate();
        then(mProcess.awaitExit()).isZero();
        stopped.set(true);
        for (Thread client : clients) {
            client.join();
        }
        Set<String> passedOn = new HashSet<>();
        mServer.receivedRequests().forEach(r -> passedOn.add(r.id()));
        then(answered).containsAll(passedOn);
    }

    private void sendUntil(AtomicBoolean stopped, String name, Set<String> answered) {
        for (int i = 0; !stopped.get(); i++) {
            try {
                mCluster.call(0, "/pay/", name + i, "x");
                answered.add(name + i);
            } catch (IllegalStateException e) {
                // The connection was refused or closed before the request was read.
                Thread.yield();
            }
        }
    }
}
