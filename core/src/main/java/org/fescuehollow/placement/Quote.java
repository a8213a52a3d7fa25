package org.fescuehollow.placement;

import java.util.Comparator;

/**
 * The cost of accepting an attempt on a backend server that declined it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param crowded true if the attempt is expected to queue here longer than a load takes
 * @param evictionCost decayed use count of the adapter that would be evicted; zero if a slot is
 *     free, infinite if no adapter can be evicted now
 * @param uses decayed use count of the needed adapter on this server
 */
public record Quote(boolean crowded, double evictionCost, double uses)
        implements Comparable<Quote> {
    /** The quote of a server that can't accept any attempt. */
    public static final Quote UNAVAILABLE = new Quote(true, Double.POSITIVE_INFINITY, 0);

    private static final Comparator<Quote> ORDER =
            Comparator.comparing(Quote::crowded).thenComparingDouble(Quote::evictionCost);

    @Override
    public int compareTo(Quote other) {
        return ORDER.compare(this, other);
    }
}
