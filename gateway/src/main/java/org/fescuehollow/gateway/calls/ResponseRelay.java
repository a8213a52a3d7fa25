package org.fescuehollow.gateway.calls;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.fescuehollow.catalog.RouteKind;
import org.fescuehollow.platform.ResponseHead;
import org.fescuehollow.platform.ResponseHeads;
import org.fescuehollow.responses.BodyDefect;
import org.fescuehollow.responses.PlainBodyCheck;
import org.fescuehollow.streams.EventDefect;
import org.fescuehollow.streams.EventStreamReader;

/**
 * Passes the body of an engine's response on to the client: a stream of events as they arrive, any
 * other body once it is complete or exceeds a size.
 *
 * <p>Invariant: nothing is passed on once the attempt has ended. Not thread-safe; used on the
 * node's event loop.
 */
final class ResponseRelay {
    /**
     * A longer response is relayed while it is received, so that the request can no longer be
     * retried.
     */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private final RequestContext mContext;
    private final ProxiedRequest mProxiedRequest;
    private final Attempt mAttempt;
    private final HttpClientResponse mResponse;
    private final boolean mEventStream;
    private final PlainBodyCheck mBodyCheck;
    private final Buffer mBuffered = Buffer.buffer();
    private int mHeldBytes;

    ResponseRelay(
            RequestContext context,
            ProxiedRequest request,
            Attempt attempt,
            HttpClientResponse response,
            ResponseHead head,
            boolean reusesConnection) {
        mContext = context;
        mProxiedRequest = request;
        mAttempt = attempt;
        mResponse = response;
        mEventStream = request.route().kind() == RouteKind.STREAM && head.isSuccess();
        mBodyCheck = ResponseHeads.bodyCheck(response, reusesConnection);
    }

    void start() {
        if (!mEventStream && hasBodyDefect()) {
            return;
        }
        mResponse.handler(guarded(mEventStream ? this::relayEvents : this::buffer));
        mResponse.endHandler(guarded(v -> onEnd()));
    }

    private <T> Handler<T> guarded(Handler<T> handler) {
        return mProxiedRequest
                .guard()
                .handler(
                        e -> {
                            if (!mAttempt.hasEnded()) {
                                handler.handle(e);
                            }
                        });
    }

    private void relayEvents(Buffer data) {
        EventStreamReader events = mProxiedRequest.events();
        relay(Buffer.buffer(events.feed(data.getBytes())));
        events.defect().ifPresent(this::onDefect);
        if (!mAttempt.hasEnded() && !tryHold(events.pendingBytes())) {
            mAttempt.onFailure(new IllegalStateException("too many bytes of events are held"));
        }
    }

    /** Sets how many bytes are held; returns false if all responses would then hold too many. */
    private boolean tryHold(int bytes) {
        release();
        boolean taken = mContext.responseBytes().tryTake(bytes);
        mHeldBytes = taken ? bytes : 0;
        return taken;
    }

    /** Releases the bytes that are held; further calls have no effect. */
    void release() {
        mContext.responseBytes().release(mHeldBytes);
        mHeldBytes = 0;
    }

    private void onDefect(EventDefect defect) {
        EventStreamLog.logDefect(
                mContext.node(), mProxiedRequest, mAttempt.engine(), mResponse, defect);
        mAttempt.onFailure(new IllegalStateException("no sound event: " + defect.text()));
    }

    /** Returns whether the plain body has a defect, which ends the attempt. */
    private boolean hasBodyDefect() {
        mBodyCheck.defect().ifPresent(this::onDefect);
        return mAttempt.hasEnded();
    }

    private void onDefect(BodyDefect defect) {
        ResponseHeadLog.logDefect(mContext.node(), mProxiedRequest, mAttempt.engine(), defect);
        mAttempt.onFailure(new IllegalStateException("no sound body: " + defect.text()));
    }

    private void buffer(Buffer data) {
        mBodyCheck.feed(data.getBytes());
        if (hasBodyDefect()) {
            return;
        }
        if (mProxiedRequest.response().hasStarted()) {
            relay(data);
            return;
        }
        mBuffered.appendBuffer(data);
        if (mBuffered.length() > MAX_BUFFERED_BYTES || !tryHold(mBuffered.length())) {
            release();
            relay(mBuffered);
        }
    }

    private void relay(Buffer data) {
        if (data.length() == 0) {
            return;
        }
        mAttempt.onBytesRelayed();
        startResponse();
        mProxiedRequest.response().write(data);
        if (mProxiedRequest.response().isWriteQueueFull()) {
            mResponse.pause();
            mProxiedRequest.response().onDrain(guarded(v -> mResponse.resume()));
        }
    }

    private void startResponse() {
        if (!mProxiedRequest.response().hasStarted()) {
            recordFirstByte();
            mProxiedRequest
                    .response()
                    .sendHead(mResponse.statusCode(), mResponse.headers(), mEventStream);
        }
    }

    private void onEnd() {
        boolean complete = !mEventStream && !mProxiedRequest.response().hasStarted();
        if (mEventStream && !isWholeStream()) {
            mAttempt.onFailure(new IllegalStateException("stream ended before it was whole"));
            return;
        }
        if (!mEventStream) {
            mBodyCheck.end();
            if (hasBodyDefect()) {
                return;
            }
        }
        mAttempt.onDelivered(mResponse.statusCode());
        if (complete) {
            recordFirstByte();
            mProxiedRequest
                    .response()
                    .sendComplete(mResponse.statusCode(), mResponse.headers(), mBuffered);
        } else {
            startResponse();
            mProxiedRequest.response().end();
        }
        mProxiedRequest.onDelivered(mAttempt.engine(), mResponse.statusCode());
    }

    private boolean isWholeStream() {
        return mProxiedRequest.events().isWhole(ResponseHead.framing(mResponse.headers()));
    }

    private void recordFirstByte() {
        long elapsedNanos = mContext.now() - mProxiedRequest.dispatchRequest().arrivalNanos();
        mContext.node()
                .metrics()
                .recordFirstByte(mProxiedRequest.dispatchRequest().service(), elapsedNanos);
    }
}
