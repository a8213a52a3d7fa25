package org.fescuehollow.server.routing;

import io.vertx.core.buffer.Buffer;
import java.util.function.LongSupplier;
import org.fescuehollow.error.Problem;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.routing.AttemptPlan;
import org.fescuehollow.server.call.AnswerHead;
import org.fescuehollow.server.call.AnswerSink;
import org.fescuehollow.server.call.Call;
import org.fescuehollow.server.call.CallHandle;
import org.fescuehollow.server.call.CoordinatorPort;
import org.fescuehollow.server.call.Firmness;
import org.fescuehollow.server.call.ForwardingSink;
import org.fescuehollow.server.metrics.Metrics;

/**
 * One call on its way through its attempts.
 *
 * <p>Invariants: at most one attempt is under way; what an attempt given up still sends is dropped;
 * the call ends exactly once. Used on the node's loop.
 */
final class RoutedCall implements CallHandle {
    private final Call mCall;
    private final AttemptPlan mPlan;
    private final CoordinatorPort mPort;
    private final AnswerSink mSink;
    private final Metrics mMetrics;
    private final LongSupplier mClock;
    private final long mBegunNanos;
    private final Runnable mOnEnd;
    private CallHandle mCurrent = () -> {};
    private int mAttempt;
    private int mCrashes;
    private boolean mAnswered;
    private boolean mOver;

    RoutedCall(
            Call call,
            AttemptPlan plan,
            CoordinatorPort port,
            AnswerSink sink,
            Metrics metrics,
            LongSupplier clock,
            Runnable onEnd) {
        mCall = call;
        mCrashes = call.crashes();
        mPlan = plan;
        mPort = port;
        mSink = sink;
        mMetrics = metrics;
        mClock = clock;
        mBegunNanos = clock.getAsLong();
        mOnEnd = onEnd;
    }

    void begin() {
        follow(mPlan.begin());
    }

    /** The time that is left to wait, whatever earlier attempts have taken of it. */
    private long patienceLeft() {
        return mCall.patienceMillis() - (mClock.getAsLong() - mBegunNanos) / 1_000_000;
    }

    private void follow(AttemptPlan.Step next) {
        long left = patienceLeft();
        boolean late = left <= 0 && next instanceof AttemptPlan.Step.Submit;
        AttemptPlan.Step step = late ? mPlan.onDeadlinePassed(mCall.patienceMillis() - left) : next;
        if (step instanceof AttemptPlan.Step.Submit submit) {
            int number = ++mAttempt;
            CallHandle handle =
                    mPort.submit(
                            submit.server(),
                            mCall.forAttempt(left, mCrashes),
                            new Firmness(submit.admissionMode(), submit.knownUses()),
                            new AttemptSink(number));
            if (number == mAttempt && !mOver) {
                mCurrent = handle;
            }
        } else if (step instanceof AttemptPlan.Step.GiveUp giveUp && over()) {
            mSink.failed(giveUp.problem());
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
    public void cancel() {
        if (over()) {
            mCurrent.cancel();
        }
    }

    /** Receives one attempt's answer; deaf once another attempt has begun. */
    private final class AttemptSink extends ForwardingSink {
        private final int mNumber;

        AttemptSink(int number) {
            super(mSink);
            mNumber = number;
        }

        private boolean isCurrent() {
            return mNumber == mAttempt && !mOver;
        }

        @Override
        public void head(AnswerHead head) {
            if (isCurrent()) {
                mAnswered = true;
                mSink.head(head);
            }
        }

        @Override
        public void chunk(Buffer data) {
            if (isCurrent()) {
                mSink.chunk(data);
            }
        }

        @Override
        public void end() {
            if (isCurrent() && over()) {
                mSink.end();
            }
        }

        @Override
        public void failed(Problem problem) {
            if (!isCurrent()) {
                return;
            }
            mCrashes = Math.max(mCrashes, problem.crashCount());
            AttemptPlan.Step next = mPlan.onFailed(problem, mAnswered);
            if (next instanceof AttemptPlan.Step.Submit) {
                mMetrics.retry(mCall.service(), problem.code());
            }
            follow(next);
        }

        @Override
        public void declined(Quote quote) {
            if (isCurrent()) {
                follow(mPlan.onDeclined(quote));
            }
        }
    }
}
