package org.fescuehollow.server.backend;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fescuehollow.error.Problem;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.model.VmState;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.config.Limits;
import org.fescuehollow.server.loop.BoundedCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a failure that passes for a success: a copy of an earlier response that is cut off
 * within its head is completed by the head of the next response.
 */
class JoinedHeadTest {
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final AdapterRef ADAPTER = AdapterRef.parse("care-notes@v1").orElseThrow();
    private static final String ANSWER = "{\"model\":\"care-notes@v1\"}";
    private static final String EVENTS = "data: " + ANSWER + "\n\ndata: [DONE]\n\n";

    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient = mVertx.createHttpClient();
    private final AtomicInteger mConnections = new AtomicInteger();
    private final BackendClient mBackends =
            new BackendClient(
                    mClient,
                    new Limits(
                            1 << 20,
                            1 << 20,
                            16 << 10,
                            TIMEOUT_MILLIS / 2,
                            TIMEOUT_MILLIS,
                            TIMEOUT_MILLIS,
                            0,
                            0,
                            0,
                            100,
                            100));

    @AfterEach
    void close() {
        await(mVertx.close());
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage().toCompletableFuture().join();
    }

    private static String response(int status, String fields, String body) {
        return "HTTP/1.1 "
                + status
                + " Reason\r\nContent-Type: text/plain\r\n"
                + fields
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String response(int status, String body) {
        return response(status, "", body);
    }

    /** Returns the starts of a response that end within its head. */
    private static List<String> cutsOf(String response) {
        return IntStream.range(1, response.indexOf("\r\n\r\n") + 4)
                .mapToObj(c -> response.substring(0, c))
                .toList();
    }

    /** Starts a server that sends the given bytes in turn, for one request each. */
    private Vm serve(String... responses) {
        AtomicInteger next = new AtomicInteger();
        NetServer server = mVertx.createNetServer();
        server.connectHandler(
                socket -> {
                    mConnections.incrementAndGet();
                    StringBuilder read = new StringBuilder();
                    socket.handler(
                            b -> {
                                read.append(b);
                                if (isWhole(read.toString())) {
                                    read.setLength(0);
                                    socket.write(responses[next.getAndIncrement()]);
                                }
                            });
                });
        int port = await(server.listen(0, "127.0.0.1")).actualPort();
        return new Vm(
                "engine-1", VmRole.ENGINE, "assistants", "rennes", "127.0.0.1", port, VmState.LIVE);
    }

    /** Returns whether a request was read to its end; those with a body have one of JSON. */
    private static boolean isWhole(String request) {
        return request.startsWith("GET") ? request.endsWith("\r\n\r\n") : request.endsWith("}");
    }

    /** Sends a call; returns the status that its caller gets, or 0 if the call fails. */
    private int call(Vm server, boolean stream) {
        Call call =
                new Call(
                        "id",
                        "team",
                        1,
                        Priority.BULK,
                        "assistants",
                        Optional.of(ADAPTER),
                        "POST",
                        "/v1/completions",
                        "application/json",
                        "",
                        Buffer.buffer("{}"),
                        stream,
                        true,
                        1_000,
                        0);
        AtomicInteger status = new AtomicInteger();
        Promise<Integer> result = Promise.promise();
        mBackends.send(server, call, "a", new Sink(status, result), (s, t) -> status.set(s));
        return await(result.future());
    }

    /** Completes with the status of a whole answer, or with 0. */
    private record Sink(AtomicInteger status, Promise<Integer> result) implements AnswerSink {
        @Override
        public void head(AnswerHead head) {}

        @Override
        public void chunk(Buffer data) {}

        @Override
        public void end() {
            result.tryComplete(status.get());
        }

        @Override
        public void failed(Problem problem) {
            result.tryComplete(0);
        }

        @Override
        public void declined(Quote quote) {}
    }

    private static Stream<Arguments> failures() {
        return Stream.of(true, false)
                .flatMap(
                        stream ->
                                Stream.of(400, 404, 500, 503)
                                        .map(status -> Arguments.of(stream, status)));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void answer_thatIsAFailureIsNotASuccessByACutCopy(boolean stream, int status) {
        String body = stream ? EVENTS : ANSWER;
        List<String> successes = new ArrayList<>();
        for (String cut : cutsOf(response(200, body))) {
            Vm server = serve(response(200, body), cut + response(status, body));
            then(call(server, stream)).isEqualTo(200);
            if (call(server, stream) == 200) {
                successes.add(cut);
            }
        }
        then(successes).as("cuts that make a success of status " + status).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {412, 500})
    void order_thatIsRejectedIsNotConfirmedByACutCopy(int status) {
        List<String> confirmed = new ArrayList<>();
        for (String cut : cutsOf(response(200, "{}"))) {
            Vm server = serve(response(200, "{}"), cut + response(status, "{}"));
            await(mBackends.order(server, EngineProtocol.LOAD_PATH, ADAPTER, 1));
            if (await(mBackends.order(server, EngineProtocol.LOAD_PATH, ADAPTER, 1))
                    == AdminReply.DONE) {
                confirmed.add(cut);
            }
        }
        then(confirmed).as("cuts that confirm an order answered with " + status).isEmpty();
    }

    @Test
    void poll_thatFailsIsNotAnsweredByACutHead() {
        List<String> successes = new ArrayList<>();
        for (String cut : cutsOf(response(200, "{}"))) {
            Vm server = serve(cut + response(503, "{}"));
            if (pollStatus(server) == 200) {
                successes.add(cut);
            }
        }
        then(successes).as("cuts that make a success of status 503").isEmpty();
    }

    /** Makes the call of a long poll; returns its status, or 0 if the call fails. */
    private int pollStatus(Vm server) {
        RequestOptions options =
                new RequestOptions().setAbsoluteURI("http://127.0.0.1:" + server.port() + "/");
        return await(
                BoundedCall.send(
                                mClient,
                                options,
                                Buffer.buffer(),
                                1 << 20,
                                Duration.ofMillis(TIMEOUT_MILLIS))
                        .map(BoundedCall.Response::status)
                        .otherwise(0));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answer_thatNamesAnotherAttemptFails(boolean stream) {
        String body = stream ? EVENTS : ANSWER;
        Vm server =
                serve(
                        response(200, "X-Attempt-Id: a\r\nX-Request-Id: x\r\n", body),
                        response(200, "X-Attempt-Id: b\r\n", body),
                        response(200, body));
        then(call(server, stream)).isEqualTo(200);
        then(call(server, stream)).isZero();
        then(call(server, stream)).isEqualTo(200);
        then(mConnections).hasValue(2);
    }
}
