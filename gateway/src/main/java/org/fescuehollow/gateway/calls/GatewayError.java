package org.fescuehollow.gateway.calls;

/** Error responses that the gateway itself sends to clients. Each is final. */
enum GatewayError {
    /** No route matches the request. */
    NO_ROUTE(404, false, "no_route"),
    /** The request is malformed. */
    BAD_FORM(400, false, "bad_form"),
    /** The body exceeds the configured limit. */
    BODY_TOO_LONG(413, false, "body_too_long"),
    /** This node has not read a configuration yet. */
    NO_CONFIGURATION(503, true, "no_configuration"),
    /** The request did not run and will not run. */
    NOT_RUN(503, true, "not_run"),
    /** The request did not run, as similar ones crashed engines. */
    CRASHES_ENGINES(503, true, "crashes_engines"),
    /**
     * The stream can't be resumed, as no engine has the software version that began it any more.
     */
    VERSION_GONE(503, false, "version_gone"),
    /** The stream can't be resumed, as it isn't known which software version began it. */
    VERSION_UNKNOWN(503, false, "version_unknown"),
    /** The request may have run, and its response is lost. */
    ANSWER_LOST(502, false, "answer_lost"),
    /** The deadline has passed, and the request may still run. */
    TIMED_OUT(504, false, "timed_out");

    private final int mStatus;
    private final boolean mHasRetryAfter;
    private final String mCode;

    GatewayError(int status, boolean hasRetryAfter, String code) {
        mStatus = status;
        mHasRetryAfter = hasRetryAfter;
        mCode = code;
    }

    int status() {
        return mStatus;
    }

    /** Returns whether the response has a Retry-After header. */
    boolean hasRetryAfter() {
        return mHasRetryAfter;
    }

    String code() {
        return mCode;
    }
}
