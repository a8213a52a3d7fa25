package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.List;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.EngineStandIn.ReceivedRequest;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an error of the next engine in the middle of a stream that broke off, and against
 * a stream that looks complete after such an error.
 */
class ResumedStreamErrorTest {
    private static final String ERROR_TEXT = "no such model";

    /** More than the gateway buffers before it relays a response. */
    private static final int LONG_ERROR_BYTES = 400 * 1024;

    private final TestCluster mCluster = new TestCluster();
    private List<EngineStandIn> mEngines;

    /** How an engine answers the request to resume a stream. */
    private enum NextAnswer {
        SERVER_ERROR(500, true),
        NOT_FOUND(404, true),
        REFUSAL(503, true),
        REDIRECT(302, true),
        UNSEALED_SUCCESS(200, false);

        private final int mStatus;
        private final boolean mSealed;

        NextAnswer(int status, boolean sealed) {
            mStatus = status;
            mSealed = sealed;
        }

        void send(EngineStandIn engine, ReceivedRequest received, HttpServerRequest request) {
            HttpServerResponse response =
                    mSealed
                            ? engine.startResponse(received, request)
                            : request.response()
                                    .putHeader("X-Fescuehollow-Attempt-Id", received.id());
            if (this == REFUSAL) {
                response.putHeader("X-Fescuehollow-Not-Executed", "1");
            }
            response.setStatusCode(mStatus).end(ERROR_TEXT);
        }
    }

    @BeforeEach
    void start() {
        mEngines = List.of(mCluster.addServer("i-1", "llm"), mCluster.addServer("i-2", "llm"));
        mCluster.configure(1);
        mCluster.startNodes(1);
        TestCluster.await(() -> mCluster.callBaseModel("/chat/", "warm").statusCode() == 200);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    @ParameterizedTest
    @EnumSource(NextAnswer.class)
    void stream_isAbortedIfTheNextEngineAnswersWithAnError(NextAnswer next) {
        mEngines.forEach(e -> e.onRequest((a, r) -> breakOffThenAnswer(e, a, r, next)));
        thenThrownBy(() -> mCluster.callBaseModel("/chat/", "id-1").body())
                .hasCauseInstanceOf(IOException.class);
        then(mEngines.stream().mapToInt(e -> e.receivedRequests().size()).sum())
                .as("requests to engines, with those before")
                .isGreaterThan(2);
    }

    private static void breakOffThenAnswer(
            EngineStandIn engine,
            ReceivedRequest received,
            HttpServerRequest request,
            NextAnswer next) {
        if (received.headers().contains("Last-Event-Id")) {
            next.send(engine, received, request);
        } else {
            engine.streamOneEvent(received, request, HttpServerResponse::reset);
        }
    }

    @Test
    void longError_thatBreaksOffIsNotContinuedWithAStream() {
        // GIVEN an engine whose error is so long that its first part is relayed, and then breaks
        // off
        boolean[] failed = new boolean[1];
        mEngines.forEach(
                e ->
                        e.onRequest(
                                (a, r) -> {
                                    if (failed[0]) {
                                        e.answerOk(a, r);
                                        return;
                                    }
                                    failed[0] = true;
                                    e.startResponse(a, r)
                                            .setStatusCode(404)
                                            .setChunked(true)
                                            .write("x".repeat(LONG_ERROR_BYTES))
                                            .onSuccess(v -> r.response().reset());
                                }));
        // WHEN a request that may be resumed gets it
        // THEN its response is aborted, and no stream of another engine follows the error's text
        thenThrownBy(() -> mCluster.callBaseModel("/chat/", "id-1").body())
                .hasCauseInstanceOf(IOException.class);
    }
}
