package org.fescuehollow.gateway.calls;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.drain.DrainSchedule;

/**
 * A planned stop of a node, from the stop signal until the process may exit.
 *
 * <p>Invariants: no request is sent to an engine once the process may exit; each request that was
 * read gets a final answer before, unless its response has begun or can't be written in time; a
 * response that has begun is cut at the exit only, so that it doesn't look complete. Not
 * thread-safe; used on the node's event loop.
 */
final class Drain {
    private static final long POLL_MILLIS = 10;

    private final RequestContext mContext;
    private final DrainSchedule mSchedule;
    private final Runnable mIdleCloser;
    private final Promise<Void> mDone = Promise.promise();
    private boolean mIdleClosed;

    /**
     * Creates a stop.
     *
     * @param idleCloser closes the connections without an open request
     */
    Drain(RequestContext context, DrainSchedule schedule, Runnable idleCloser) {
        mContext = context;
        mSchedule = schedule;
        mIdleCloser = idleCloser;
    }

    /** Starts the stop; the future completes once the process may exit. */
    Future<Void> start() {
        mContext.startDraining(mSchedule);
        mContext.node().vertx().setPeriodic(POLL_MILLIS, this::poll);
        return mDone.future();
    }

    private void poll(long timer) {
        long now = mContext.now();
        if (!mIdleClosed && now >= mSchedule.idleCloseNanos()) {
            mIdleClosed = true;
            mIdleCloser.run();
        }
        if (!mContext.isClosed() && now >= mSchedule.finalAnswersNanos()) {
            mContext.close();
            logEnd();
            mContext.sendFinalAnswers();
        }
        boolean drained = mIdleClosed && mContext.openRequests() == 0 && mContext.isFlushed();
        if (drained || now >= mSchedule.exitNanos()) {
            mContext.close();
            mContext.endAll();
            mContext.node().vertx().cancelTimer(timer);
            mDone.complete();
        }
    }

    private void logEnd() {
        long elapsedNanos = mContext.now() - mSchedule.startNanos();
        mContext.node()
                .log()
                .event(
                        "final_answers",
                        "open",
                        mContext.openRequests(),
                        "ms",
                        TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
    }
}
