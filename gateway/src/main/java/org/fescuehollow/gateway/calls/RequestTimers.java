package org.fescuehollow.gateway.calls;

import io.vertx.core.Vertx;

/**
 * The timers of one request, for its deadline and for its wait for an engine. Not thread-safe; used
 * on the node's event loop.
 */
final class RequestTimers {
    private static final long NONE = -1;

    private final Vertx mVertx;
    private final RequestGuard mGuard;
    private long mDeadline = NONE;
    private long mWait = NONE;

    RequestTimers(Vertx vertx, RequestGuard guard) {
        mVertx = vertx;
        mGuard = guard;
    }

    void startDeadline(long millis, Runnable action) {
        mDeadline = start(millis, action);
    }

    /** Starts a wait, unless one was started since the last {@link #endWait}. */
    void startWait(long millis, Runnable action) {
        if (mWait == NONE) {
            mWait = start(millis, action);
        }
    }

    private long start(long millis, Runnable action) {
        return mVertx.setTimer(Math.max(1, millis), t -> mGuard.run(action));
    }

    void endWait() {
        mVertx.cancelTimer(mWait);
        mWait = NONE;
    }

    void cancelAll() {
        mVertx.cancelTimer(mDeadline);
        endWait();
    }
}
