package org.fescuehollow.gateway.calls;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.RouteKind;
import org.fescuehollow.dispatch.EngineHealth;
import org.fescuehollow.dispatch.EngineInactivityDetector;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.platform.InterimResponses;
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.platform.ResponseHead;
import org.fescuehollow.platform.ResponseHeads;
import org.fescuehollow.responses.HeadDefect;

/**
 * One attempt to run a request at one engine.
 *
 * <p>A request that may run only once gets its own connection, so that it can't be lost when the
 * engine closes an idle connection. Other requests use pooled connections, one request at a time;
 * late or surplus bytes of an earlier response are recognised by the attempt id in the response, or
 * by its absence on a connection that was used before, and fail the attempt.
 *
 * <p>Invariant: the request is notified exactly once of the end of the attempt, unless the attempt
 * was cancelled. Not thread-safe; used on the node's event loop.
 */
final class Attempt {
    /**
     * Many times the round trip to the farthest failure domain, yet short enough for a plain
     * service to meet its latency objective at another engine when a failure domain is cut off.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 120;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int STATUS_OK = 200;

    private final RequestContext mContext;
    private final ProxiedRequest mProxiedRequest;
    private final Engine mEngine;
    private Optional<HttpClientRequest> mEngineRequest = Optional.empty();
    private Optional<EngineInactivityDetector.Stream> mStream = Optional.empty();
    private Optional<ResponseRelay> mRelay = Optional.empty();
    private long mSentNanos;
    private boolean mReusesConnection;
    private boolean mAnswered;
    private boolean mEnded;

    Attempt(RequestContext context, ProxiedRequest request, Engine engine) {
        mContext = context;
        mProxiedRequest = request;
        mEngine = engine;
    }

    Engine engine() {
        return mEngine;
    }

    /** Returns whether the engine has begun to answer: with a first event if it is a stream. */
    boolean isAnswered() {
        return mAnswered;
    }

    void start() {
        RequestOptions options =
                new RequestOptions()
                        .setHost(mEngine.host())
                        .setPort(mEngine.port())
                        .setMethod(mProxiedRequest.clientRequest().method())
                        .setURI(mProxiedRequest.clientRequest().uri())
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        connect(options)
                .onSuccess(guarded(this::onConnected))
                .onFailure(guarded(this::onUnreachable));
    }

    /** Returns a failed future, as for an unreachable engine, if the client rejects an option. */
    private Future<HttpClientRequest> connect(RequestOptions options) {
        try {
            return httpClient().request(options);
        } catch (RuntimeException e) {
            mContext.node().log().event("connect_exception", "engine", mEngine.id(), "cause", e);
            Promise<HttpClientRequest> promise = Promise.promise();
            mContext.node().vertx().runOnContext(v -> promise.fail(e));
            return promise.future();
        }
    }

    private <T> Handler<T> guarded(Handler<T> handler) {
        return mProxiedRequest.guard().handler(handler);
    }

    private HttpClient httpClient() {
        NodeContext node = mContext.node();
        return mProxiedRequest.route().isRetryable() ? node.pooledClient() : node.unpooledClient();
    }

    /** Ends the attempt by closing the connection to the engine. */
    void cancel() {
        markEnded();
        mEngineRequest.ifPresent(r -> r.connection().close());
    }

    private void onUnreachable(Throwable cause) {
        if (markEnded()) {
            health().ifPresent(h -> h.onUnreachable(mContext.now()));
            mProxiedRequest.onNotRun(mEngine, "unreachable " + cause.getMessage(), false);
        }
    }

    private void onConnected(HttpClientRequest request) {
        if (mEnded) {
            request.connection().close();
            return;
        }
        mEngineRequest = Optional.of(request);
        mReusesConnection = mContext.recordUse(request.connection());
        RequestHead.copyHeaders(
                mProxiedRequest.clientRequest().headers(),
                request.headers(),
                mEngine.id(),
                mProxiedRequest.remainingMillis(),
                Math.min(9, mProxiedRequest.route().rank()));
        mProxiedRequest.events().resume();
        if (!mProxiedRequest.events().lastEventId().isEmpty()) {
            RequestHead.setLastEventId(request.headers(), mProxiedRequest.events().lastEventId());
        }
        mSentNanos = mContext.now();
        request.exceptionHandler(guarded(this::onBroken));
        InterimResponses.limit(request, guarded(this::onBroken));
        request.response().onSuccess(guarded(this::onResponse)).onFailure(guarded(this::onBroken));
        mProxiedRequest.retries().onSent();
        if (mProxiedRequest.route().kind() == RouteKind.STREAM) {
            mStream = Optional.of(mContext.watchStream(this, mProxiedRequest.route()));
        }
        sendBody(request);
    }

    private void sendBody(HttpClientRequest request) {
        Buffer body = mProxiedRequest.body();
        if (body.length() > 0) {
            request.end(body).onFailure(guarded(this::onBroken));
            return;
        }
        if (!request.getMethod().equals(HttpMethod.GET)) {
            request.putHeader(HttpHeaders.CONTENT_LENGTH, "0");
        }
        request.end().onFailure(guarded(this::onBroken));
    }

    private void onBroken(Throwable cause) {
        if (!mEnded && !mAnswered) {
            mProxiedRequest.traits().onBroken(mEngine);
        }
        onFailure(cause);
    }

    private void markAnswered() {
        if (!mAnswered) {
            mAnswered = true;
            mProxiedRequest.traits().onAnswered(mEngine, mSentNanos);
        }
    }

    /** Ends the attempt, whose response is lost, with the cause for the log. */
    void onFailure(Throwable cause) {
        if (markEnded()) {
            closeConnection();
            health().ifPresent(h -> h.onFailure(mContext.now()));
            mProxiedRequest.onResponseLost(mEngine, "broken " + cause.getMessage());
        }
    }

    private boolean markEnded() {
        boolean first = !mEnded;
        mEnded = true;
        mStream.ifPresent(this::closeStream);
        mStream = Optional.empty();
        mRelay.ifPresent(ResponseRelay::release);
        return first;
    }

    private void closeStream(EngineInactivityDetector.Stream stream) {
        mProxiedRequest.recordSilence(stream.idleTime());
        mContext.closeStream(stream);
    }

    /**
     * Handles the silence of an engine, which has sent nothing for long to this or any other
     * request.
     */
    void onSilence() {
        mProxiedRequest.guard().run(this::onSilenceGuarded);
    }

    private void onSilenceGuarded() {
        if (!mEnded) {
            mProxiedRequest.tryLeaveSilentEngine(mEngine, this::endSilent);
        }
    }

    private void endSilent() {
        markEnded();
        closeConnection();
        health().ifPresent(h -> h.onFailure(mContext.now()));
    }

    private Optional<EngineHealth> health() {
        return mContext.dispatcher().health(mEngine.id());
    }

    private void closeConnection() {
        mEngineRequest.ifPresent(r -> r.connection().close());
    }

    private void onResponse(HttpClientResponse response) {
        if (mEnded) {
            return;
        }
        response.exceptionHandler(guarded(this::onBroken));
        String id = mProxiedRequest.dispatchRequest().id();
        Optional<HeadDefect> defect = ResponseHeads.findDefect(response, id);
        if (defect.isPresent()) {
            ResponseHeadLog.logDefect(
                    mContext.node(), defect.get(), id, mReusesConnection, mEngine, response);
            onFailure(new IllegalStateException("no sound head: " + defect.get().text()));
            return;
        }
        ResponseHead head = ResponseHead.of(response.statusCode(), response.headers());
        if (!head.isMisdirected()) {
            mContext.onResponseOf(mEngine, head);
        }
        if (head.notExecuted()) {
            onRefused(head);
        } else if (head.isUnverified()) {
            onFailure(new IllegalStateException("response without a valid seal of its server"));
        } else if (head.status() >= FIRST_SERVER_ERROR_STATUS && mProxiedRequest.tryTakeRetry()) {
            markEnded();
            closeConnection();
            health().ifPresent(h -> h.onFailure(mContext.now()));
            mProxiedRequest.retryElsewhere(mEngine, "failed status " + head.status());
        } else if (mProxiedRequest.response().hasStarted() && head.status() != STATUS_OK) {
            onFailure(
                    new IllegalStateException(
                            "status " + head.status() + " in response to a resumed stream"));
        } else {
            deliver(response, head);
        }
    }

    private void onRefused(ResponseHead head) {
        markEnded();
        closeConnection();
        boolean lacksAdapter =
                head.isMisdirected()
                        && mProxiedRequest.dispatchRequest().adapter().isAdapter()
                        && (head.instanceId().isEmpty() || head.instanceId().equals(mEngine.id()));
        if (lacksAdapter) {
            mContext.residency()
                    .onAdapterMissing(mEngine.id(), mProxiedRequest.dispatchRequest().adapter());
        } else if (head.isMisdirected()) {
            health().ifPresent(h -> h.onUnreachable(mContext.now()));
        }
        mProxiedRequest.onNotRun(mEngine, "refused status " + head.status(), true);
    }

    private void deliver(HttpClientResponse response, ResponseHead head) {
        mProxiedRequest.onResponseStarted(mEngine);
        ResponseRelay relay =
                new ResponseRelay(
                        mContext, mProxiedRequest, this, response, head, mReusesConnection);
        mRelay = Optional.of(relay);
        relay.start();
    }

    /** Returns whether the attempt has ended, so that further bytes of its response are dropped. */
    boolean hasEnded() {
        return mEnded;
    }

    /**
     * Records that bytes of the response, with whole events if it is a stream, go to the client.
     */
    void onBytesRelayed() {
        markAnswered();
        mProxiedRequest.version().onRelayed(mEngine, mProxiedRequest.dispatchRequest());
        mStream.ifPresent(EngineInactivityDetector.Stream::onEvent);
    }

    /** Ends the attempt with the end of a whole response. */
    void onDelivered(int status) {
        markEnded();
        markAnswered();
        recordHealth(status);
    }

    private void recordHealth(int status) {
        long now = mContext.now();
        if (status >= FIRST_SERVER_ERROR_STATUS) {
            health().ifPresent(h -> h.onFailure(now));
        } else {
            health().ifPresent(h -> h.onSuccess(now));
        }
    }
}
