package org.fescuehollow.settings;

/**
 * The revision that the platform's settings service assigns to a path's value.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param number increases with each change of the path, including deletions
 */
public record Revision(long number) implements Comparable<Revision> {
    /** The revision of a path without a value, below all others. */
    public static final Revision NONE = new Revision(0);

    @Override
    public int compareTo(Revision other) {
        return Long.compare(number, other.number);
    }

    /**
     * Returns whether this revision is later than another.
     *
     * @param other the revision to compare with
     * @return true if later, false if earlier or equal
     */
    public boolean isAfter(Revision other) {
        return compareTo(other) > 0;
    }
}
