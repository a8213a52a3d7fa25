package org.fescuehollow.server.call;

import io.vertx.core.buffer.Buffer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.placement.Quote;

/**
 * Hands an answer on to another sink; subclasses change what they need.
 *
 * <p>Used on the node's loop.
 */
public abstract class ForwardingSink implements AnswerSink {
    private final AnswerSink mTarget;

    /**
     * Creates a sink.
     *
     * @param target receives everything that a subclass doesn't keep
     */
    protected ForwardingSink(AnswerSink target) {
        mTarget = target;
    }

    /**
     * Returns the sink behind this one.
     *
     * @return the target
     */
    protected final AnswerSink target() {
        return mTarget;
    }

    @Override
    public void head(AnswerHead head) {
        mTarget.head(head);
    }

    @Override
    public void chunk(Buffer data) {
        mTarget.chunk(data);
    }

    @Override
    public void end() {
        mTarget.end();
    }

    @Override
    public void failed(Problem problem) {
        mTarget.failed(problem);
    }

    @Override
    public void declined(Quote quote) {
        mTarget.declined(quote);
    }

    @Override
    public boolean isFull() {
        return mTarget.isFull();
    }

    @Override
    public void onDrain(Runnable action) {
        mTarget.onDrain(action);
    }
}
