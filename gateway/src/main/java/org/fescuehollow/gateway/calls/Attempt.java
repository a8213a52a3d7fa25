package org.fescuehollow.gateway.calls;

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
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.platform.ResponseHead;

/**
 * One attempt of a request at one engine.
 *
 * <p>A request that may run only once gets a connection of its own, so that an idle connection that
 * the engine closes can't lose it. Others share kept connections, one at a time; late or additional
 * bytes there fail an attempt, as the id in an answer tells whose it is.
 *
 * <p>Invariant: tells its call exactly once how it ended, unless it was cancelled. Used on the
 * node's loop.
 */
final class Attempt {
    /**
     * The longest time for a connection: many times the way to the farthest domain, yet short
     * enough to meet a plain service's objective elsewhere when a domain is cut off.
     */
    private static final long CONNECT_MILLIS = 120;

    /** A longer answer is passed on as it comes, without the chance of another attempt. */
    private static final int HELD_BYTES = 256 * 1024;

    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;
    private static final int REDIRECT = 300;

    private final CallContext mContext;
    private final CallFlow mCall;
    private final Engine mEngine;
    private Optional<HttpClientRequest> mRequest = Optional.empty();
    private Optional<EngineInactivityDetector.Stream> mStream = Optional.empty();
    private boolean mEnded;

    Attempt(CallContext context, CallFlow call, Engine engine) {
        mContext = context;
        mCall = call;
        mEngine = engine;
    }

    Engine engine() {
        return mEngine;
    }

    void start() {
        RequestOptions options =
                new RequestOptions()
                        .setHost(mEngine.host())
                        .setPort(mEngine.port())
                        .setMethod(mCall.request().method())
                        .setURI(mCall.request().uri())
                        .setConnectTimeout(CONNECT_MILLIS);
        client().request(options).onSuccess(this::connected).onFailure(this::unreachable);
    }

    private HttpClient client() {
        NodeContext node = mContext.node();
        return mCall.route().isRetryable() ? node.repeatable() : node.once();
    }

    /** Ends the attempt; the engine sees its connection closed. */
    void cancel() {
        end();
        mRequest.ifPresent(r -> r.connection().close());
    }

    private void unreachable(Throwable cause) {
        if (end()) {
            health().ifPresent(h -> h.onUnreachable(mContext.now()));
            mCall.notRun(mEngine, "unreachable " + cause.getMessage(), false);
        }
    }

    private void connected(HttpClientRequest request) {
        if (mEnded) {
            request.connection().close();
            return;
        }
        mRequest = Optional.of(request);
        RequestHead.copyHeaders(
                mCall.request().headers(),
                request.headers(),
                mEngine.id(),
                mCall.leftMillis(),
                Math.min(9, mCall.route().rank()));
        if (!mCall.events().lastId().isEmpty()) {
            RequestHead.setLastEventId(request.headers(), mCall.events().lastId());
        }
        request.exceptionHandler(this::broken);
        request.response().onSuccess(this::answered).onFailure(this::broken);
        mCall.running();
        if (mCall.route().kind() == RouteKind.STREAM) {
            mStream = Optional.of(mContext.watch(this, mCall.route()));
        }
        write(request);
    }

    private void write(HttpClientRequest request) {
        Buffer body = mCall.body();
        if (body.length() > 0) {
            request.end(body).onFailure(this::broken);
            return;
        }
        if (!request.getMethod().equals(HttpMethod.GET)) {
            request.putHeader(HttpHeaders.CONTENT_LENGTH, "0");
        }
        request.end().onFailure(this::broken);
    }

    private void broken(Throwable cause) {
        if (end()) {
            closeConnection();
            health().ifPresent(h -> h.onFailure(mContext.now()));
            mCall.lost(mEngine, "broken " + cause.getMessage());
        }
    }

    private boolean end() {
        boolean first = !mEnded;
        mEnded = true;
        mStream.ifPresent(this::close);
        mStream = Optional.empty();
        return first;
    }

    private void close(EngineInactivityDetector.Stream stream) {
        mCall.quiet(stream.idleTime());
        mContext.close(stream);
    }

    /** Takes that the engine has sent nothing for long, to this request or any other. */
    void fellSilent() {
        if (!mEnded && mCall.leaveSilent(mEngine)) {
            end();
            closeConnection();
            health().ifPresent(h -> h.onFailure(mContext.now()));
            mCall.runAgain(mEngine, "silent");
        }
    }

    private Optional<EngineHealth> health() {
        return mContext.dispatcher().health(mEngine.id());
    }

    private void closeConnection() {
        mRequest.ifPresent(r -> r.connection().close());
    }

    private void answered(HttpClientResponse response) {
        if (mEnded) {
            return;
        }
        response.exceptionHandler(this::broken);
        ResponseHead head = ResponseHead.of(response.statusCode(), response.headers());
        boolean foreign =
                !head.attemptId().isEmpty() && !head.attemptId().equals(mCall.needs().id());
        if (foreign) {
            broken(new IllegalStateException("answer of another request"));
        } else if (head.notExecuted()) {
            refused(head);
        } else if (isUnproven(head)) {
            broken(new IllegalStateException("answer without proof of its server"));
        } else if (head.status() >= SERVER_ERROR && mCall.canRunAgain()) {
            end();
            closeConnection();
            health().ifPresent(h -> h.onFailure(mContext.now()));
            mCall.runAgain(mEngine, "failed status " + head.status());
        } else if (mCall.answer().hasBegun() && head.status() != SUCCESS) {
            broken(new IllegalStateException("status " + head.status() + " for a resumed stream"));
        } else {
            deliver(response, head);
        }
    }

    private static boolean isUnproven(ResponseHead head) {
        boolean success = head.status() >= SUCCESS && head.status() < REDIRECT;
        return success && (!head.sealed() || head.contentEncoded());
    }

    private void refused(ResponseHead head) {
        end();
        closeConnection();
        boolean lacksAdapter =
                head.isMisdirected()
                        && mCall.needs().adapter().isAdapter()
                        && (head.instanceId().isEmpty() || head.instanceId().equals(mEngine.id()));
        if (lacksAdapter) {
            mContext.residency().onAdapterMissing(mEngine.id(), mCall.needs().adapter());
        } else if (head.isMisdirected()) {
            health().ifPresent(h -> h.onUnreachable(mContext.now()));
        }
        mCall.notRun(mEngine, "refused status " + head.status(), true);
    }

    private void deliver(HttpClientResponse response, ResponseHead head) {
        mCall.answering(mEngine);
        if (mCall.route().kind() == RouteKind.STREAM && head.status() == SUCCESS) {
            if (mCall.route().resumable()) {
                response.handler(b -> relayEvents(response, b));
            } else {
                response.handler(b -> relay(response, b));
            }
            response.endHandler(v -> relayedAnswerEnded(response));
        } else {
            Buffer held = Buffer.buffer();
            response.handler(b -> hold(response, held, b));
            response.endHandler(v -> heldAnswerEnded(response, held));
        }
    }

    private void hold(HttpClientResponse response, Buffer held, Buffer data) {
        if (mEnded) {
            return;
        }
        if (mCall.answer().hasBegun()) {
            relay(response, data);
            return;
        }
        held.appendBuffer(data);
        if (held.length() > HELD_BYTES) {
            relay(response, held);
        }
    }

    private void heldAnswerEnded(HttpClientResponse response, Buffer held) {
        if (mCall.answer().hasBegun()) {
            relayedAnswerEnded(response);
        } else {
            wholeAnswer(response, held);
        }
    }

    private void relayEvents(HttpClientResponse response, Buffer data) {
        relay(response, mCall.events().feed(data));
        if (mCall.events().isPartialEventTooLong()) {
            broken(new IllegalStateException("event beyond the longest"));
        }
    }

    private void relay(HttpClientResponse response, Buffer data) {
        if (mEnded || data.length() == 0) {
            return;
        }
        mStream.ifPresent(EngineInactivityDetector.Stream::onEvent);
        beginAnswer(response);
        mCall.answer().chunk(data);
        if (mCall.answer().isFull()) {
            response.pause();
            mCall.answer().onDrain(response::resume);
        }
    }

    private void beginAnswer(HttpClientResponse response) {
        if (!mCall.answer().hasBegun()) {
            noteFirstByte();
            mCall.answer().head(response.statusCode(), response.headers());
        }
    }

    private void relayedAnswerEnded(HttpClientResponse response) {
        if (mEnded) {
            return;
        }
        if (mCall.events().hasPartialEvent()) {
            broken(new IllegalStateException("stream ended within an event"));
            return;
        }
        end();
        noteStatus(response.statusCode());
        beginAnswer(response);
        mCall.answer().end();
        mCall.delivered(mEngine, response.statusCode());
    }

    private void wholeAnswer(HttpClientResponse response, Buffer body) {
        if (!end()) {
            return;
        }
        noteStatus(response.statusCode());
        noteFirstByte();
        mCall.answer().whole(response.statusCode(), response.headers(), body);
        mCall.delivered(mEngine, response.statusCode());
    }

    private void noteFirstByte() {
        long waited = mContext.now() - mCall.needs().arrivalNanos();
        mContext.node().metrics().firstByte(mCall.needs().service(), waited);
    }

    private void noteStatus(int status) {
        long now = mContext.now();
        if (status >= SERVER_ERROR) {
            health().ifPresent(h -> h.onFailure(now));
        } else {
            health().ifPresent(h -> h.onSuccess(now));
        }
    }
}
