package org.fescuehollow.gateway.calls;

import java.util.HashSet;
import java.util.Set;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.dispatch.QueueTimeout;

/**
 * The runs of one request, and whether another one may follow.
 *
 * <p>Invariant: a request that left an engine which may still have responded isn't refused because
 * of a planned stop before all requests get their final answers. Not thread-safe; used on the
 * node's event loop.
 */
final class Retries {
    private final RequestContext mContext;
    private final Route mRoute;
    private final Set<String> mAvoidedEngines = new HashSet<>();
    private int mRuns;
    private boolean mLeftSilentEngine;

    Retries(RequestContext context, Route route) {
        mContext = context;
        mRoute = route;
    }

    int runs() {
        return mRuns;
    }

    /** Records that the request is sent to an engine, which may run it from now on. */
    void onSent() {
        mRuns++;
    }

    /** Records that an engine that the request was sent to certainly did not run it. */
    void onNotRun() {
        mRuns--;
    }

    void onLeftSilentEngine() {
        mLeftSilentEngine = true;
    }

    /** Records that an engine rejected or failed the request. */
    void avoid(Engine engine) {
        mAvoidedEngines.add(engine.id());
    }

    Set<String> avoided() {
        return mAvoidedEngines;
    }

    Set<String> avoidedAnd(Engine engine) {
        Set<String> avoided = new HashSet<>(mAvoidedEngines);
        avoided.add(engine.id());
        return avoided;
    }

    /** Returns whether a planned stop allows that the request is sent. */
    boolean maySend(DispatchRequest request) {
        return mLeftSilentEngine ? mContext.mayGoOn() : mContext.maySend(request, mRoute);
    }

    /** Returns whether the route, the remaining time and a planned stop allow another run. */
    boolean mayRetry(DispatchRequest request) {
        return mRoute.isRetryable()
                && mRuns < mRoute.maxAttempts()
                && QueueTimeout.hasTimeToRetry(request, mContext.now())
                && maySend(request);
    }
}
