package org.fescuehollow.placement;

import java.util.Comparator;

/**
 * What it would cost a backend server to take an attempt that it has declined.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param crowded true if the attempt would wait longer for its turn than for a load elsewhere
 * @param evictionCost worth of the adapter that would be evicted; zero for a free slot, infinite if
 *     no adapter can be evicted now
 * @param uses how often the adapter was asked for here, earlier uses counting less
 */
public record Quote(boolean crowded, double evictionCost, double uses)
        implements Comparable<Quote> {
    /** The quote of a server that can't take anything. */
    public static final Quote UNAVAILABLE = new Quote(true, Double.POSITIVE_INFINITY, 0);

    private static final Comparator<Quote> ORDER =
            Comparator.comparing(Quote::crowded).thenComparingDouble(Quote::evictionCost);

    @Override
    public int compareTo(Quote other) {
        return ORDER.compare(this, other);
    }
}
