package org.fescuehollow.standins;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;

/**
 * Long polls of a stand-in that wait for a newer revision or their timeout.
 *
 * <p>Used on one event loop only.
 */
final class LongPollQueue {
    private final Vertx mVertx;
    private final List<PendingPoll> mPendingPolls = new ArrayList<>();

    LongPollQueue(Vertx vertx) {
        mVertx = vertx;
    }

    /** A poll that waits for its response; responds at most once. */
    private static final class PendingPoll {
        private final Runnable mRespond;
        private long mTimerId;
        private boolean mHasResponded;

        PendingPoll(Runnable respond) {
            mRespond = respond;
        }

        void respond() {
            if (!mHasResponded) {
                mHasResponded = true;
                mRespond.run();
            }
        }
    }

    void await(long waitMillis, Runnable respond) {
        PendingPoll poll = new PendingPoll(respond);
        poll.mTimerId = mVertx.setTimer(Math.max(1, waitMillis), t -> release(poll));
        mPendingPolls.add(poll);
    }

    private void release(PendingPoll poll) {
        mPendingPolls.remove(poll);
        mVertx.cancelTimer(poll.mTimerId);
        poll.respond();
    }

    void releaseAll() {
        List.copyOf(mPendingPolls).forEach(this::release);
    }
}
