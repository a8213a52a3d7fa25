package org.fescuehollow.error;

/**
 * Whether a refused or failed request ran on a backend server.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum RunState {
    /** No byte of the request reached a backend server, or the server refused to execute it. */
    NOT_RUN("not_run"),
    /** The request may have run; nobody can tell. */
    OUTCOME_UNKNOWN("outcome_unknown"),
    /** The request ran on a backend server, though its answer is not whole. */
    RAN("ran");

    private final String mWireName;

    RunState(String word) {
        mWireName = word;
    }

    /**
     * Returns the word that callers see in the {@code ran} member of a problem document.
     *
     * @return a stable lower-case word
     */
    public String wireName() {
        return mWireName;
    }
}
