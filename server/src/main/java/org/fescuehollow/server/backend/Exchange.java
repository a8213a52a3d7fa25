package org.fescuehollow.server.backend;

import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswer;
import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswerCompletely;
import static org.fescuehollow.error.ShouldLoadAdapter.shouldHoldAdapter;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.responses.HeadDefect;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.config.Limits;
import org.fescuehollow.server.loop.InterimResponses;
import org.fescuehollow.server.loop.ResponseHeads;

/**
 * One attempt's exchange with a backend server.
 *
 * <p>Invariants: ends exactly once, with an end, a failure or a cancellation, and hands on nothing
 * afterwards; the end is handed on only if the answer is whole. Used on the node's loop.
 */
final class Exchange implements CallHandle {
    private static final int STATUS_OK = 200;

    private static final Logger LOG = System.getLogger(Exchange.class.getName());

    private final Call mCall;
    private final String mAttempt;
    private final AnswerSink mSink;
    private final BiConsumer<Integer, String> mHead;
    private final Limits mLimits;
    private Optional<HttpClientRequest> mRequest = Optional.empty();
    private boolean mAnswering;
    private boolean mEnded;

    Exchange(
            Call call,
            String attempt,
            AnswerSink sink,
            BiConsumer<Integer, String> head,
            Limits limits) {
        mCall = call;
        mAttempt = attempt;
        mSink = sink;
        mHead = head;
        mLimits = limits;
    }

    void unconnected(Throwable cause) {
        fail(shouldAnswer(RunState.NOT_RUN, "it can't be reached: " + cause.getMessage()));
    }

    void connected(HttpClientRequest request) {
        if (mEnded) {
            request.reset();
            return;
        }
        mRequest = Optional.of(request);
        InterimResponses.limit(request);
        request.response().onSuccess(this::answered).onFailure(this::broken);
        request.exceptionHandler(this::broken);
        request.end(mCall.body()).onFailure(this::broken);
    }

    private void answered(HttpClientResponse response) {
        response.exceptionHandler(this::broken);
        Optional<HeadDefect> defect = ResponseHeads.findDefect(response, mAttempt);
        if (defect.isPresent()) {
            unsound(defect.get());
            return;
        }
        int status = response.statusCode();
        if (mCall.adapter().isPresent() && isRefusal(status)) {
            refused(status);
        } else if (mCall.stream() && status == STATUS_OK) {
            relayEvents(response);
        } else {
            relayWhole(response);
        }
    }

    /** Closes the connection, as what follows on it may belong to any request. */
    private void unsound(HeadDefect defect) {
        LOG.log(Level.WARNING, "response to {0} has no sound head: {1}", mCall.id(), defect.text());
        fail(
                shouldAnswer(
                        RunState.OUTCOME_UNKNOWN,
                        "its response has no sound head: " + defect.text()));
        mRequest.ifPresent(r -> r.connection().close());
    }

    /** Engines answer these before they execute anything. */
    private static boolean isRefusal(int status) {
        return status == 404 || status == 429 || status == 503;
    }

    /** Closes the connection, as the body of a refusal isn't needed and may have no end. */
    private void refused(int status) {
        fail(
                status == 404
                        ? shouldHoldAdapter(adapterName())
                        : shouldAnswer(RunState.NOT_RUN, "it refused with status " + status));
        resetRequest();
    }

    private String adapterName() {
        return mCall.adapter().map(AdapterRef::toString).orElse("");
    }

    private void relayEvents(HttpClientResponse response) {
        SseReader reader = new SseReader(adapterName(), mLimits.answerBytes());
        response.handler(data -> relay(response, reader, data));
        response.endHandler(v -> endStream(reader));
    }

    private void relay(HttpClientResponse response, SseReader reader, Buffer data) {
        if (mEnded) {
            return;
        }
        try {
            Buffer events = reader.feed(data);
            if (events.length() > 0) {
                headOnce(response);
                mSink.chunk(events);
            }
        } catch (FescuehollowException e) {
            fail(e.problem());
            resetRequest();
            return;
        }
        if (mSink.isFull()) {
            response.pause();
            mSink.onDrain(response::resume);
        }
    }

    private void headOnce(HttpClientResponse response) {
        if (!mAnswering) {
            mAnswering = true;
            mHead.accept(response.statusCode(), contentType(response));
        }
    }

    private static String contentType(HttpClientResponse response) {
        String type = response.getHeader("Content-Type");
        return type == null ? "" : type;
    }

    private void endStream(SseReader reader) {
        if (!reader.isWhole()) {
            fail(shouldAnswerCompletely("its stream ended before the final event"));
        } else if (end()) {
            mSink.end();
        }
    }

    private void relayWhole(HttpClientResponse response) {
        Buffer body = Buffer.buffer();
        response.handler(
                data -> {
                    if (mEnded) {
                        return;
                    }
                    body.appendBuffer(data);
                    if (body.length() > mLimits.answerBytes()) {
                        fail(
                                shouldAnswerCompletely(
                                        "it exceeds " + mLimits.answerBytes() + " bytes"));
                        resetRequest();
                    }
                });
        response.endHandler(v -> endWhole(response, body));
    }

    private void endWhole(HttpClientResponse response, Buffer body) {
        if (mEnded) {
            return;
        }
        try {
            if (mCall.adapter().isPresent() && response.statusCode() == STATUS_OK) {
                ModelCheck.requireModel(adapterName(), body.getBytes());
            }
        } catch (FescuehollowException e) {
            fail(e.problem());
            return;
        }
        headOnce(response);
        mSink.chunk(body);
        if (end()) {
            mSink.end();
        }
    }

    private void broken(Throwable cause) {
        fail(
                mAnswering
                        ? shouldAnswerCompletely("the connection broke: " + cause.getMessage())
                        : shouldAnswer(
                                RunState.OUTCOME_UNKNOWN,
                                "the connection broke: " + cause.getMessage()));
        resetRequest();
    }

    private void fail(Problem problem) {
        if (end()) {
            mSink.failed(problem);
        }
    }

    private boolean end() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }

    private void resetRequest() {
        mRequest.ifPresent(HttpClientRequest::reset);
    }

    @Override
    public void cancel() {
        if (end()) {
            resetRequest();
        }
    }
}
