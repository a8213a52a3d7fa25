package org.fescuehollow.catalog;

/** Kind of a route's requests, which decides whether they may run more than once. */
public enum RouteKind {
    /** Requests that may run more than once. */
    IDEMPOTENT(true),
    /** Requests that run at most once. */
    AT_MOST_ONCE(false),
    /** Requests with an event stream as response; they run at most once unless resumable. */
    STREAM(false);

    private final boolean mRetryable;

    RouteKind(boolean retryable) {
        mRetryable = retryable;
    }

    /**
     * Returns whether a request may run again.
     *
     * @param resumable whether the stream can be resumed
     * @return true if a second run is harmless
     */
    public boolean isRetryable(boolean resumable) {
        return mRetryable || this == STREAM && resumable;
    }
}
