package org.fescuehollow.server.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;

/**
 * Writes an answer to a caller.
 *
 * <p>Invariant: an answer that broke off never looks complete: a stream ends with an error event
 * and without the final event, and is then reset. Used on the node's loop.
 */
final class CallerSink implements AnswerSink {
    /** Error code of RFC 9113; without one a reset stream might pass for a whole one. */
    private static final long INTERNAL_ERROR = 2;

    static final String SERVER_HEADER = "X-Served-By";
    static final String STALLED_HEADER = "X-Adapter-Stalled";
    static final String WAITED_HEADER = "X-Waited-Micros";

    private final HttpServerRequest mRequest;
    private final String mId;
    private final boolean mStream;
    private final Consumer<String> mOnOutcome;
    private boolean mOver;

    /**
     * Creates a sink.
     *
     * @param request the caller's request
     * @param id the request's id
     * @param stream true if the answer is streamed
     * @param onOutcome takes {@code ok} or an error code, once
     */
    CallerSink(HttpServerRequest request, String id, boolean stream, Consumer<String> onOutcome) {
        mRequest = request;
        mId = id;
        mStream = stream;
        mOnOutcome = onOutcome;
    }

    private HttpServerResponse response() {
        return mRequest.response();
    }

    @Override
    public void head(AnswerHead head) {
        response().setStatusCode(head.status());
        if (!head.contentType().isEmpty()) {
            response().putHeader("Content-Type", head.contentType());
        }
        response().putHeader(SERVER_HEADER, head.server());
        response().putHeader(STALLED_HEADER, Boolean.toString(head.stalled()));
        response().putHeader(WAITED_HEADER, Long.toString(head.waitedMicros()));
        if (mStream) {
            response().setChunked(true);
        }
    }

    @Override
    public void chunk(Buffer data) {
        if (!response().isChunked()) {
            response().putHeader("Content-Length", Integer.toString(data.length()));
        }
        response().write(data);
    }

    @Override
    public void end() {
        if (outcome("ok")) {
            response().end();
        }
    }

    @Override
    public void failed(Problem problem) {
        if (!outcome(problem.code().wireName()) || response().closed()) {
            return;
        }
        if (!response().headWritten()) {
            ProblemWriter.answer(response(), problem, mId);
            return;
        }
        Buffer event =
                Buffer.buffer("event: error\ndata: ")
                        .appendBuffer(ProblemWriter.write(problem, mId))
                        .appendString("\n\n");
        response().write(event).onComplete(v -> response().reset(INTERNAL_ERROR));
    }

    /** Ends the sink because the caller is gone; returns false if it had ended before. */
    boolean abandon() {
        boolean first = !mOver;
        mOver = true;
        return first;
    }

    private boolean outcome(String code) {
        if (mOver) {
            return false;
        }
        mOver = true;
        mOnOutcome.accept(code);
        return true;
    }

    @Override
    public void declined(Quote quote) {
        throw new IllegalStateException("expected an answer or a problem, got " + quote);
    }

    @Override
    public boolean isFull() {
        return response().writeQueueFull();
    }

    @Override
    public void onDrain(Runnable action) {
        response().drainHandler(v -> action.run());
    }
}
