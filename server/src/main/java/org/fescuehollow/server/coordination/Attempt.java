package org.fescuehollow.server.coordination;

import io.vertx.core.buffer.Buffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.ForwardingSink;

/**
 * One attempt as its coordinator's surroundings see it: waiting, then running, then over.
 *
 * <p>Invariant: ends once; its end releases the pin exactly once. Used on the node's loop.
 */
final class Attempt extends ForwardingSink {
    private final Call mCall;
    private final Runnable mOnEnd;
    private final Consumer<Problem> mOnNotRun;
    private final BiConsumer<Problem, Consumer<Problem>> mOnBreak;
    private CallHandle mExchange = () -> {};
    private boolean mOver;

    /**
     * Creates an attempt.
     *
     * @param call the call
     * @param sink receives the answer
     * @param onEnd run once when a started attempt is over
     * @param onNotRun takes a failure of a started attempt that did not run
     * @param onBreak takes a failure after which the server may have crashed, and who to tell it
     */
    Attempt(
            Call call,
            AnswerSink sink,
            Runnable onEnd,
            Consumer<Problem> onNotRun,
            BiConsumer<Problem, Consumer<Problem>> onBreak) {
        super(sink);
        mCall = call;
        mOnEnd = onEnd;
        mOnNotRun = onNotRun;
        mOnBreak = onBreak;
    }

    Call call() {
        return mCall;
    }

    void runs(CallHandle exchange) {
        mExchange = exchange;
        if (mOver) {
            exchange.cancel();
        }
    }

    /** Ends an attempt that never started, without telling its coordinator. */
    void refused(Consumer<AnswerSink> last) {
        if (!mOver) {
            mOver = true;
            last.accept(target());
        }
    }

    void cancelRunning() {
        if (over()) {
            mExchange.cancel();
        }
    }

    private boolean over() {
        if (mOver) {
            return false;
        }
        mOver = true;
        mOnEnd.run();
        return true;
    }

    @Override
    public void head(AnswerHead head) {
        if (!mOver) {
            target().head(head);
        }
    }

    @Override
    public void chunk(Buffer data) {
        if (!mOver) {
            target().chunk(data);
        }
    }

    @Override
    public void end() {
        if (over()) {
            target().end();
        }
    }

    @Override
    public void failed(Problem problem) {
        if (problem.runState() == RunState.NOT_RUN) {
            mOnNotRun.accept(problem);
            failNow(problem);
        } else if (mCall.adapter().isEmpty()) {
            failNow(problem);
        } else {
            mOnBreak.accept(problem, this::failNow);
        }
    }

    private void failNow(Problem problem) {
        if (over()) {
            target().failed(problem);
        }
    }

    @Override
    public void declined(Quote quote) {
        if (over()) {
            target().declined(quote);
        }
    }
}
