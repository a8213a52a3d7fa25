package org.fescuehollow.model;

import java.util.Locale;

/**
 * Priority class of a team's traffic. Operators publish it; clients can't set it.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Priority {
    /** A person waits for the response, for example at a counter or on the phone. */
    INTERACTIVE(0, 30_000),
    /** A person waits for the response, but not urgently. */
    STANDARD(5, 120_000),
    /** Batch work that may wait but must be done. */
    BULK(10, 900_000);

    private final int mEngineValue;
    private final long mStartTimeoutMillis;

    Priority(int engineValue, long startTimeoutMillis) {
        mEngineValue = engineValue;
        mStartTimeoutMillis = startTimeoutMillis;
    }

    /**
     * Returns the value by which engines order their batches.
     *
     * @return a value; lower runs first
     */
    public int engineValue() {
        return mEngineValue;
    }

    /**
     * Returns how long a request waits for its start if the client gives no deadline.
     *
     * @return milliseconds
     */
    public long startTimeoutMillis() {
        return mStartTimeoutMillis;
    }

    /**
     * Parses the name used in settings.
     *
     * @param text the name in any case
     * @return the priority
     * @throws IllegalArgumentException if there is no such priority
     */
    public static Priority parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }
}
