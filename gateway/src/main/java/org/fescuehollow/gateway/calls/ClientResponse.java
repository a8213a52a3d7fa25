package org.fescuehollow.gateway.calls;

import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.impl.ConnectionBase;
import java.time.Duration;
import java.util.Locale;
import org.fescuehollow.platform.ResponseHead;

/**
 * The response to one client request.
 *
 * <p>Invariant: exactly one response is started. One that can't be completed is ended by closing
 * the connection, so that it doesn't look complete. Not thread-safe; used on the node's event loop.
 */
final class ClientResponse {
    private final RequestContext mContext;
    private final HttpServerRequest mRequest;
    private final HttpServerResponse mResponse;
    private boolean mStarted;
    private boolean mEventStream;
    private long mStartedNanos;

    ClientResponse(RequestContext context, HttpServerRequest request) {
        mContext = context;
        mRequest = request;
        mResponse = request.response();
    }

    boolean hasStarted() {
        return mStarted;
    }

    /** Returns whether a complete response with status 2xx was sent. */
    boolean isCompleteSuccess() {
        return mResponse.ended() && mResponse.getStatusCode() / 100 == 2;
    }

    /** Sends a complete response of an engine. */
    void sendComplete(int status, MultiMap headers, Buffer body) {
        start(status, headers);
        finish(mResponse.end(body));
    }

    /** Returns whether another engine may answer: not within a body that is no stream of events. */
    boolean acceptsEvents() {
        return !mStarted || mEventStream;
    }

    /** Sends the head of a streamed response, which is a stream of events or any other body. */
    void sendHead(int status, MultiMap headers, boolean eventStream) {
        mEventStream = eventStream;
        start(status, headers);
        mResponse.setChunked(true);
    }

    /**
     * Returns the milliseconds from the arrival of the request to the first byte of its response,
     * or -1 if there is none.
     */
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
            mContext.connections().markClosing(mRequest.connection());
        }
    }

    /**
     * Returns whether the client reads too slowly, so that reading from the engine should be
     * paused.
     */
    boolean isWriteQueueFull() {
        return mResponse.writeQueueFull();
    }

    void onDrain(Handler<Void> handler) {
        mResponse.drainHandler(handler);
    }

    void write(Buffer data) {
        mResponse.write(data);
    }

    void end() {
        finish(mResponse.end());
    }

    /** Aborts a response that was started and can't be completed; a complete one is left alone. */
    void abort() {
        if (!mResponse.ended()) {
            if (mRequest.version() == HttpVersion.HTTP_1_0) {
                resetOnClose();
            }
            mRequest.connection().close();
        }
    }

    /** Makes the close a reset: over HTTP/1.0 a usual close is the end of a complete response. */
    private void resetOnClose() {
        ((ConnectionBase) mRequest.connection())
                .channel()
                .config()
                .setOption(ChannelOption.SO_LINGER, 0);
    }

    /** Sends an error response of the gateway. */
    void sendError(GatewayError error, String attemptId, double retryAfterSeconds) {
        mStarted = true;
        mResponse.setStatusCode(error.status());
        ResponseHead.setAttemptId(attemptId, mResponse.headers());
        if (error.hasRetryAfter()) {
            mResponse.putHeader(
                    HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterSeconds));
        }
        mResponse.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        addCloseHeader();
        finish(mResponse.end("{\"code\":\"" + error.code() + "\"}"));
    }

    private void finish(Future<Void> written) {
        mContext.onResponseEnding(written);
        written.onComplete(r -> closeIfDraining());
    }

    /** Closes the connection in a planned stop, unless the next request on it has begun. */
    private void closeIfDraining() {
        if (mContext.isDraining() && mContext.connections().isIdle(mRequest.connection())) {
            mRequest.connection().close();
        }
    }
}
