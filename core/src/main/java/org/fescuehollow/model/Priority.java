package org.fescuehollow.model;

import java.util.Locale;

/**
 * The class of a team's traffic, published by operators and never taken from a caller.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Priority {
    /** Somebody waits at a counter or on the phone. */
    INTERACTIVE(0, 30_000),
    /** Somebody waits, but not this very minute. */
    STANDARD(5, 120_000),
    /** Work that may wait but must arrive. */
    BULK(10, 900_000);

    private final int mEngineValue;
    private final long mStartTimeoutMillis;

    Priority(int engineValue, long patienceMillis) {
        mEngineValue = engineValue;
        mStartTimeoutMillis = patienceMillis;
    }

    /**
     * Returns the number that engines order their batches by.
     *
     * @return lower goes first
     */
    public int engineValue() {
        return mEngineValue;
    }

    /**
     * Returns how long a request waits for its start if the caller gives no deadline.
     *
     * @return milliseconds
     */
    public long startTimeoutMillis() {
        return mStartTimeoutMillis;
    }

    /**
     * Reads the word used in settings.
     *
     * @param word the name in any case
     * @return the priority
     * @throws IllegalArgumentException if there is no such priority
     */
    public static Priority parse(String word) {
        return valueOf(word.toUpperCase(Locale.ROOT));
    }
}
