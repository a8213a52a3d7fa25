package org.fescuehollow.server.idempotency;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.idempotency.Outcome;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.ForwardingSink;

/**
 * Hands an answer on and keeps a copy for callers that send the same call again.
 *
 * <p>Invariant: the outcome is recorded before the caller sees the end. Used on the node's loop.
 */
final class RecordingSink extends ForwardingSink {
    private final Consumer<Outcome> mRecord;
    private final Buffer mBody = Buffer.buffer();
    private int mStatus;
    private String mContentType = "";
    private boolean mCallerGone;

    RecordingSink(AnswerSink sink, Consumer<Outcome> record) {
        super(sink);
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
            target().head(head);
        }
    }

    @Override
    public void chunk(Buffer data) {
        mBody.appendBuffer(data);
        if (!mCallerGone) {
            target().chunk(data);
        }
    }

    @Override
    public void end() {
        mRecord.accept(Outcome.ofResponse(mStatus, mContentType, mBody.getBytes()));
        if (!mCallerGone) {
            target().end();
        }
    }

    @Override
    public void failed(Problem problem) {
        mRecord.accept(Outcome.ofProblem(problem));
        if (!mCallerGone) {
            target().failed(problem);
        }
    }

    @Override
    public void declined(Quote quote) {
        throw new IllegalStateException("expected an answer or a problem, got " + quote);
    }

    @Override
    public boolean isFull() {
        return !mCallerGone && target().isFull();
    }
}
