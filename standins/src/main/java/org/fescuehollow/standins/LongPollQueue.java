package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;

/**
 * Callers of a stand-in that wait for a revision to grow.
 *
 * <p>Used on one event loop.
 */
final class LongPollQueue {
    private final Vertx mVertx;
    private final List<PendingPoll> mWaiters = new ArrayList<>();

    LongPollQueue(Vertx vertx) {
        mVertx = vertx;
    }

    /** One waiting call. */
    private static final class PendingPoll {
        private final Runnable mAnswer;
        private long mTimer;
        private boolean mAnswered;

        PendingPoll(Runnable answer) {
            mAnswer = answer;
        }

        void answer() {
            if (!mAnswered) {
                mAnswered = true;
                mAnswer.run();
            }
        }
    }

    void await(long waitMillis, Runnable answer) {
        PendingPoll w = new PendingPoll(answer);
        w.mTimer = mVertx.setTimer(Math.max(1, waitMillis), t -> release(w));
        mWaiters.add(w);
    }

    private void release(PendingPoll w) {
        mWaiters.remove(w);
        mVertx.cancelTimer(w.mTimer);
        w.answer();
    }

    void releaseAll() {
        List.copyOf(mWaiters).forEach(this::release);
    }
}
