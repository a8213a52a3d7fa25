package org.fescuehollow.gateway.calls;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;
import org.fescuehollow.platform.ResponseHead;

/**
 * The answer to one request, towards its caller.
 *
 * <p>Invariant: exactly one answer begins; one that can't be finished ends with a closed
 * connection, so that it doesn't look whole. Used on the node's loop.
 */
final class CallAnswer {
    private final CallContext mContext;
    private final HttpServerRequest mRequest;
    private final HttpServerResponse mResponse;
    private boolean mBegun;
    private long mBegunNanos;

    CallAnswer(CallContext context, HttpServerRequest request) {
        mContext = context;
        mRequest = request;
        mResponse = request.response();
    }

    boolean hasBegun() {
        return mBegun;
    }

    /** Sends a whole answer of an engine. */
    void whole(int status, MultiMap headers, Buffer body) {
        begin(status, headers);
        mResponse.end(body).onComplete(r -> closeIfLeaving());
    }

    /** Sends the head of a stream. */
    void head(int status, MultiMap headers) {
        begin(status, headers);
        mResponse.setChunked(true);
    }

    /** Returns the time from a request's arrival to its answer's first byte; -1 without one. */
    long firstMillis(long arrivedNanos) {
        return mBegunNanos == 0 ? -1 : Duration.ofNanos(mBegunNanos - arrivedNanos).toMillis();
    }

    private void begin(int status, MultiMap headers) {
        mBegun = true;
        mBegunNanos = mContext.now();
        mResponse.setStatusCode(status);
        ResponseHead.copyHeaders(headers, mResponse.headers());
        announceClose();
    }

    private void announceClose() {
        if (mContext.isLeaving()) {
            mResponse.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }

    /** Tells whether the caller is behind, so that the engine's answer should pause. */
    boolean isFull() {
        return mResponse.writeQueueFull();
    }

    void onDrain(Runnable action) {
        mResponse.drainHandler(v -> action.run());
    }

    void chunk(Buffer data) {
        mResponse.write(data);
    }

    void end() {
        mResponse.end().onComplete(r -> closeIfLeaving());
    }

    /** Ends an answer that has begun and can't be finished. */
    void abort() {
        mRequest.connection().close();
    }

    /** Sends an answer of this system's own. */
    void refuse(Outcome outcome, String attemptId, double retrySeconds) {
        mBegun = true;
        mResponse.setStatusCode(outcome.status());
        ResponseHead.setAttemptId(attemptId, mResponse.headers());
        if (outcome.returns()) {
            mResponse.putHeader(
                    HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retrySeconds));
        }
        mResponse.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        announceClose();
        mResponse.end("{\"code\":\"" + outcome.code() + "\"}").onComplete(r -> closeIfLeaving());
    }

    private void closeIfLeaving() {
        if (mContext.isLeaving()) {
            mRequest.connection().close();
        }
    }
}
