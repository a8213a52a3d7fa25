package org.fescuehollow.error;

import java.util.Locale;

/**
 * Stable codes of all rejections and failures, with the HTTP status that clients see.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum ErrorCode {
    /** The request has no valid key. */
    UNAUTHENTICATED(401),
    /** The team may not call this adapter or service, or it does not exist. */
    UNKNOWN_TARGET(404),
    /** The request is malformed. */
    INVALID_REQUEST(400),
    /** The body exceeds the limit. */
    BODY_TOO_LARGE(413),
    /** The idempotency key was used before with a different request. */
    KEY_REUSED(422),
    /** The request with this key is still running. */
    KEY_IN_PROGRESS(409),
    /** The request needs a ticket as its idempotency key. */
    TICKET_REQUIRED(428),
    /** It is unknown whether the request with this key ran. */
    KEY_OUTCOME_UNKNOWN(409),
    /** No backend server could accept the request in time. */
    NO_CAPACITY(503),
    /** The request's deadline passed before it was sent. */
    DEADLINE_PASSED(504),
    /** The adapter could not be loaded. */
    LOAD_FAILED(503),
    /** The engine no longer has the adapter that was expected to be loaded. */
    ADAPTER_MISSING(503),
    /** The backend server failed before or during its response. */
    BACKEND_FAILED(502),
    /** The response ended before it was complete. */
    ANSWER_INCOMPLETE(502),
    /** The request has crashed backend servers before. */
    CRASHING_REQUEST(422),
    /** The node is stopping. */
    STOPPING(503),
    /** The settings or the command line are invalid. */
    INVALID_SETTINGS(422),
    /** A platform service or another node can't be reached. */
    UNREACHABLE(503),
    /** An internal error of this program. */
    INTERNAL(500);

    private final int mStatus;

    ErrorCode(int status) {
        mStatus = status;
    }

    /**
     * Returns the HTTP status code.
     *
     * @return a code from RFC 9110 or RFC 6585
     */
    public int status() {
        return mStatus;
    }

    /**
     * Returns the code as written to problem documents and logs.
     *
     * @return lower case, words joined by underscores
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
