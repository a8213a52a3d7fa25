package org.fescuehollow.server.backend;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
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
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.platform.LongPoll;
import org.fescuehollow.standins.EndlessServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines and platform services that send bytes without end in place of a response. */
class EndlessBytesTest {
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n";
    private static final String OK = "HTTP/1.1 200 x\r\n";
    private static final AdapterRef ADAPTER = AdapterRef.parse("care-notes@v1").orElseThrow();
    private static final int FILLER_BYTES = 64 * 1024;
    private static final int ANSWER_BYTES = 1024 * 1024;
    private static final int TIMEOUT_MILLIS = 1_000;

    /** What a caller may accept on a connection, with what the sockets hold. */
    private static final long MAX_BYTES = 32L * 1024 * 1024;

    /** Several times the timeout of each call. */
    private static final Duration PATIENCE = Duration.ofSeconds(8);

    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient = mVertx.createHttpClient();
    private final BackendClient mBackends = new BackendClient(mClient, limits());

    private static Limits limits() {
        return new Limits(
                1 << 20,
                ANSWER_BYTES,
                16 << 10,
                TIMEOUT_MILLIS / 2,
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS,
                0,
                0,
                0,
                100,
                100);
    }

    /** The part of a response that never ends. */
    enum Part {
        HEADER(OK + "X-Junk: ", "x"),
        INTERIM("", "HTTP/1.1 100 x\r\n\r\n"),
        CHUNK_EXTENSION(OK + "Transfer-Encoding: chunked\r\n\r\n1;", "x"),
        TRAILERS(OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Junk: x\r\n"),
        BODY_LENGTH(OK + "Content-Length: 9000000000000\r\n\r\n", "x"),
        BODY_CHUNKS(OK + CHUNKED, "x"),
        BODY_UNTIL_CLOSED(OK + "\r\n", "x"),
        ERROR_BODY("HTTP/1.1 500 x\r\n" + CHUNKED, "x"),
        MISSING_BODY("HTTP/1.1 404 x\r\n" + CHUNKED, "x"),
        REFUSAL_BODY("HTTP/1.1 503 x\r\n" + CHUNKED, "x");

        private final String mStart;
        private final String mFiller;

        Part(String start, String filler) {
            mStart = start;
            mFiller = filler;
        }

        EndlessServer flood(Vertx vertx) {
            String filler = mFiller.repeat(FILLER_BYTES / mFiller.length());
            return new EndlessServer(vertx, mStart, filler, 0);
        }

        EndlessServer drip(Vertx vertx) {
            return new EndlessServer(vertx, mStart, mFiller, 200);
        }
    }

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.getAsBoolean()) {
            then(System.nanoTime()).as("time until the condition holds").isLessThan(end);
            try {
                TimeUnit.MILLISECONDS.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }

    private static void thenEnded(Future<?> call, EndlessServer server) {
        await(call::isComplete);
        await(server::isClosedByCallers);
        then(server.sentBytes()).isLessThan(MAX_BYTES);
    }

    private static Vm vm(EndlessServer server) {
        return new Vm(
                "engine-1",
                VmRole.ENGINE,
                "assistants",
                "rennes",
                "127.0.0.1",
                server.port(),
                VmState.LIVE);
    }

    private Future<AdminReply> order(EndlessServer server) {
        return mBackends.order(vm(server), EngineProtocol.LOAD_PATH, ADAPTER, 1);
    }

    private AtomicBoolean call(EndlessServer server, boolean stream) {
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
        AtomicBoolean failed = new AtomicBoolean();
        mBackends.send(vm(server), call, "a", sink(failed), (s, t) -> {});
        return failed;
    }

    private static AnswerSink sink(AtomicBoolean failed) {
        return new AnswerSink() {
            @Override
            public void head(AnswerHead head) {}

            @Override
            public void chunk(Buffer data) {}

            @Override
            public void end() {}

            @Override
            public void failed(Problem problem) {
                failed.set(true);
            }

            @Override
            public void declined(Quote quote) {}
        };
    }

    @ParameterizedTest
    @EnumSource
    void report_thatIsEndlessEnds(Part part) {
        EndlessServer server = part.flood(mVertx);
        thenEnded(mBackends.inspect(vm(server)), server);
    }

    @ParameterizedTest
    @EnumSource
    void report_thatDripsEnds(Part part) {
        EndlessServer server = part.drip(mVertx);
        thenEnded(mBackends.inspect(vm(server)), server);
    }

    @ParameterizedTest
    @EnumSource
    void order_whoseResponseIsEndlessEnds(Part part) {
        EndlessServer server = part.flood(mVertx);
        thenEnded(order(server), server);
    }

    @ParameterizedTest
    @EnumSource
    void order_whoseResponseDripsEnds(Part part) {
        EndlessServer server = part.drip(mVertx);
        thenEnded(order(server), server);
    }

    @ParameterizedTest
    @EnumSource
    void answer_thatIsEndlessFails(Part part) {
        EndlessServer server = part.flood(mVertx);
        AtomicBoolean failed = call(server, false);
        await(failed::get);
        await(server::isClosedByCallers);
        then(server.sentBytes()).isLessThan(MAX_BYTES);
    }

    @ParameterizedTest
    @EnumSource
    void stream_thatIsEndlessFails(Part part) {
        EndlessServer server = part.flood(mVertx);
        AtomicBoolean failed = call(server, true);
        await(failed::get);
        await(server::isClosedByCallers);
        then(server.sentBytes()).isLessThan(MAX_BYTES);
    }

    @ParameterizedTest
    @ValueSource(ints = {404, 429, 503})
    void refusal_thatDripsFails(int status) {
        String start = "HTTP/1.1 " + status + " x\r\n" + CHUNKED;
        EndlessServer server = new EndlessServer(mVertx, start, "x", 200);
        AtomicBoolean failed = call(server, true);
        await(failed::get);
        await(server::isClosedByCallers);
    }

    @ParameterizedTest
    @EnumSource
    void poll_thatIsEndlessEnds(Part part) {
        EndlessServer server = part.flood(mVertx);
        NodeLoop loop = new NodeLoop(mVertx);
        String url = "http://127.0.0.1:" + server.port() + "/";
        LongPoll poll = new LongPoll(loop, mClient, () -> url, b -> {});
        loop.run(poll::begin);
        // A connection may be closed again within a few milliseconds.
        await(() -> server.openedConnections() > 0);
        loop.run(poll::stop);
        await(server::isClosedByCallers);
        then(server.sentBytes()).isLessThan(2 * MAX_BYTES);
        then(poll.isReached()).isFalse();
    }

    @Test
    void sentBytes_areBelowTheLimitOfTheServer() {
        then(2 * MAX_BYTES).isLessThanOrEqualTo(EndlessServer.MAX_BYTES);
    }
}
