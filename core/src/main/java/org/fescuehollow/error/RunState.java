package org.fescuehollow.error;

/**
 * Whether a rejected or failed request ran on a backend server.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum RunState {
    /**
     * No byte of the request reached a backend server, or the server rejected it without running
     * it.
     */
    NOT_RUN("not_run"),
    /** It is unknown whether the request ran. */
    OUTCOME_UNKNOWN("outcome_unknown"),
    /** The request ran on a backend server, but its response is incomplete. */
    RAN("ran");

    private final String mWireName;

    RunState(String wireName) {
        mWireName = wireName;
    }

    /**
     * Returns the value of the {@code ran} member of a problem document.
     *
     * @return a stable lower-case name
     */
    public String wireName() {
        return mWireName;
    }
}
