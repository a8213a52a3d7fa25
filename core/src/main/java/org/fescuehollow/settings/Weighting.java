package org.fescuehollow.settings;

import java.util.Locale;
import org.fescuehollow.model.Priority;

/**
 * The trade-off of a service between short load stalls and full batches.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Weighting {
    /** Loads at once for any waiting request. For services where a late response does harm. */
    STALLS_FIRST(1, 0.0),
    /**
     * Loads at once for interactive requests. Other requests wait briefly so that several can share
     * a load.
     */
    COUNTER_FIRST(2, 0.02),
    /**
     * Loads at once only for interactive requests. Others wait longer so that more of them share
     * one load.
     */
    BATCHES_FIRST(4, 0.10);

    private final int mMinRequests;
    private final double mMaxWaitFraction;

    Weighting(int minRequests, double maxWaitFraction) {
        mMinRequests = minRequests;
        mMaxWaitFraction = maxWaitFraction;
    }

    /**
     * Returns whether an adapter that isn't resident may be loaded now for the requests that wait
     * for it.
     *
     * @param priority the highest priority among the waiting requests
     * @param waiting how many requests wait for the adapter
     * @param waitedMillis how long the oldest of them has waited, in milliseconds
     * @return true if the load may be requested
     */
    public boolean mayLoad(Priority priority, int waiting, long waitedMillis) {
        if (priority == Priority.INTERACTIVE || waiting >= mMinRequests) {
            return true;
        }
        return waitedMillis >= maxWaitMillis(priority);
    }

    /**
     * Returns how long a single request waits at most before its adapter may be loaded.
     *
     * @param priority the request's priority
     * @return milliseconds
     */
    public long maxWaitMillis(Priority priority) {
        return (long) (mMaxWaitFraction * priority.startTimeoutMillis());
    }

    /**
     * Parses the name used in settings.
     *
     * @param name a name such as {@code stalls-first}
     * @return the weighting
     * @throws IllegalArgumentException if there is no such weighting
     */
    public static Weighting parse(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
