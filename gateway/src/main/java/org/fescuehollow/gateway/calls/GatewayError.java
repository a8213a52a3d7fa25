package org.fescuehollow.gateway.calls;

/** Final answers of this system's own, with what they promise. */
enum GatewayError {
    /** No route matches the request. */
    NO_ROUTE(404, false, "no_route"),
    /** The request can't be read as one. */
    BAD_FORM(400, false, "bad_form"),
    /** The body is longer than the operators allow. */
    BODY_TOO_LONG(413, false, "body_too_long"),
    /** This node knows no configuration yet. */
    NO_CONFIGURATION(503, true, "no_configuration"),
    /** The request did not run and won't. */
    NOT_RUN(503, true, "not_run"),
    /** The request may have run, and its answer is lost. */
    ANSWER_LOST(502, false, "answer_lost"),
    /** The request may still run, and its time is over. */
    TIMED_OUT(504, false, "timed_out");

    private final int mStatus;
    private final boolean mHasRetryAfter;
    private final String mCode;

    GatewayError(int status, boolean returns, String code) {
        mStatus = status;
        mHasRetryAfter = returns;
        mCode = code;
    }

    int status() {
        return mStatus;
    }

    /** Tells whether the caller is told when to come back. */
    boolean hasRetryAfter() {
        return mHasRetryAfter;
    }

    String code() {
        return mCode;
    }
}
