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
final class ClientResponse {
    private final RequestContext mContext;
    private final HttpServerRequest mRequest;
    private final HttpServerResponse mResponse;
    private boolean mStarted;
    private long mStartedNanos;

    ClientResponse(RequestContext context, HttpServerRequest request) {
        mContext = context;
        mRequest = request;
        mResponse = request.response();
    }

    boolean hasStarted() {
        return mStarted;
    }

    /** Sends a whole answer of an engine. */
    void sendComplete(int status, MultiMap headers, Buffer body) {
        start(status, headers);
        mResponse.end(body).onComplete(r -> closeIfDraining());
    }

    /** Sends the head of a stream. */
    void sendHead(int status, MultiMap headers) {
        start(status, headers);
        mResponse.setChunked(true);
    }

    /** Returns the time from a request's arrival to its answer's first byte; -1 without one. */
    long firstByteMillis(long arrivedNanos) {
        return mStartedNanos == 0 ? -1 : Duration.ofNanos(mStartedNanos - arrivedNanos).toMillis();
    }

    private void start(int status, MultiMap headers) {
        mStarted = true;
        mStartedNanos = mContext.now();
        mResponse.setStatusCode(status);
        ResponseHead.copyHeaders(headers, mResponse.headers());
        addCloseHeader();
    }

    private void addCloseHeader() {
        if (mContext.isDraining()) {
            mResponse.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }

    /** Tells whether the caller is behind, so that the engine's answer should pause. */
    boolean isWriteQueueFull() {
        return mResponse.writeQueueFull();
    }

    void onDrain(Runnable action) {
        mResponse.drainHandler(v -> action.run());
    }

    void write(Buffer data) {
        mResponse.write(data);
    }

    void end() {
        mResponse.end().onComplete(r -> closeIfDraining());
    }

    /** Ends an answer that has begun and can't be finished. */
    void abort() {
        mRequest.connection().close();
    }

    /** Sends an answer of this system's own. */
    void sendError(GatewayError outcome, String attemptId, double retrySeconds) {
        mStarted = true;
        mResponse.setStatusCode(outcome.status());
        ResponseHead.setAttemptId(attemptId, mResponse.headers());
        if (outcome.hasRetryAfter()) {
            mResponse.putHeader(
                    HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retrySeconds));
        }
        mResponse.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        addCloseHeader();
        mResponse.end("{\"code\":\"" + outcome.code() + "\"}").onComplete(r -> closeIfDraining());
    }

    private void closeIfDraining() {
        if (mContext.isDraining()) {
            mRequest.connection().close();
        }
    }
}
