package org.fescuehollow.settings;

import java.util.Locale;
import org.fescuehollow.model.Priority;

/**
 * How a service weighs load stalls against full batches.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Weighting {
    /** Loads at once for whatever waits; for work where a late answer harms. */
    STALLS_FIRST(1, 0.0),
    /** Loads at once for interactive work; other work waits shortly to fill batches. */
    COUNTER_FIRST(2, 0.02),
    /** Bulk work waits until several requests share one load. */
    BATCHES_FIRST(4, 0.10);

    private final int mMinRequests;
    private final double mMaxWaitFraction;

    Weighting(int company, double shareOfPatience) {
        mMinRequests = company;
        mMaxWaitFraction = shareOfPatience;
    }

    /**
     * Tells whether an adapter that isn't resident may be loaded now for what waits for it.
     *
     * @param priority the highest priority among the waiting requests
     * @param waiting how many requests wait for the adapter
     * @param waitedMillis how long the oldest of them has waited, in milliseconds
     * @return true if a load may be asked for
     */
    public boolean mayLoad(Priority priority, int waiting, long waitedMillis) {
        if (priority == Priority.INTERACTIVE || waiting >= mMinRequests) {
            return true;
        }
        return waitedMillis >= maxWaitMillis(priority);
    }

    /**
     * Returns after what time a lone request gets its load.
     *
     * @param priority the request's priority
     * @return milliseconds
     */
    public long maxWaitMillis(Priority priority) {
        return (long) (mMaxWaitFraction * priority.startTimeoutMillis());
    }

    /**
     * Reads the word used in settings.
     *
     * @param word such as {@code stalls-first}
     * @return the weighting
     * @throws IllegalArgumentException if there is no such weighting
     */
    public static Weighting parse(String word) {
        return valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
