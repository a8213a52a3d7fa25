package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Set;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.dispatch.DispatchRequest;

/**
 * The traits of one request, by which requests that crash engines are recognised; computed only
 * once they matter. Not thread-safe; used on the node's event loop.
 */
final class RequestTraits {
    private final CrashGuard mCrashGuard;
    private final HttpServerRequest mClientRequest;
    private final DispatchRequest mDispatchRequest;
    private final Buffer mBody;
    private Set<Long> mTraits = Set.of();

    RequestTraits(
            CrashGuard crashGuard,
            HttpServerRequest clientRequest,
            DispatchRequest dispatchRequest,
            Buffer body) {
        mCrashGuard = crashGuard;
        mClientRequest = clientRequest;
        mDispatchRequest = dispatchRequest;
        mBody = body;
    }

    private Set<Long> get() {
        if (mTraits.isEmpty()) {
            mTraits = DispatchRequests.traits(mClientRequest, mDispatchRequest, mBody);
        }
        return mTraits;
    }

    /** Returns whether the request would crash engines. */
    boolean isBlocked() {
        return mCrashGuard.findBlocked(this::get).isPresent();
    }

    /** Records that an engine has begun to answer a request that was sent to it at a time. */
    void onAnswered(Engine engine, long sentNanos) {
        mCrashGuard.onAnswered(engine, this::get, sentNanos);
    }

    /** Records that an engine closed the connection without beginning to answer. */
    void onBroken(Engine engine) {
        mCrashGuard.onBroken(engine, get());
    }
}
