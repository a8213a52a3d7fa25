package org.fescuehollow.catalog;

/** What a route's requests are and how often they may run. */
public enum RouteKind {
    /** Requests that may run more than once. */
    IDEMPOTENT(true),
    /** Requests that run at most once. */
    AT_MOST_ONCE(false),
    /** Requests answered by a stream of events; they run at most once unless resumable. */
    STREAM(false);

    private final boolean mRetryable;

    RouteKind(boolean repeatable) {
        mRetryable = repeatable;
    }

    /**
     * Tells whether a request may run again.
     *
     * @param resumable whether its stream can be resumed
     * @return true if a second run does no harm
     */
    public boolean isRetryable(boolean resumable) {
        return mRetryable || this == STREAM && resumable;
    }
}
