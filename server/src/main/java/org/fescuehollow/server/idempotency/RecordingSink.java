package org.fescuehollow.server.idempotency;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.idempotency.Outcome;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;

/**
 * Hands an answer on and keeps a copy for callers that send the same call again.
 *
 * <p>Invariant: the outcome is recorded before the caller sees the end. Used on the node's loop.
 */
final class RecordingSink implements AnswerSink {
    private final AnswerSink mSink;
    private final Consumer<Outcome> mRecord;
    private final Buffer mBody = Buffer.buffer();
    private int mStatus;
    private String mContentType = "";
    private boolean mCallerGone;

    RecordingSink(AnswerSink sink, Consumer<Outcome> record) {
        mSink = sink;
        mRecord = record;
    }

    void callerGone() {
        mCallerGone = true;
    }

    @Override
    public void head(AnswerHead head) {
        mStatus = head.status();
        mContentType = head.contentType();
        if (!mCallerGone) {
            mSink.head(head);
        }
    }

    @Override
    public void chunk(Buffer data) {
        mBody.appendBuffer(data);
        if (!mCallerGone) {
            mSink.chunk(data);
        }
    }

    @Override
    public void end() {
        mRecord.accept(Outcome.answer(mStatus, mContentType, mBody.getBytes()));
        if (!mCallerGone) {
            mSink.end();
        }
    }

    @Override
    public void failed(Problem problem) {
        mRecord.accept(Outcome.failure(problem));
        if (!mCallerGone) {
            mSink.failed(problem);
        }
    }

    @Override
    public void declined(Quote quote) {
        throw new IllegalStateException("expected an answer or a problem, got " + quote);
    }

    @Override
    public boolean isFull() {
        return !mCallerGone && mSink.isFull();
    }

    @Override
    public void onDrain(Runnable action) {
        mSink.onDrain(action);
    }
}
