package org.fescuehollow.settings;

/**
 * The revision of one path's value as the platform's settings service numbers it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param number grows with each change of the path, deletions included
 */
public record Revision(long number) implements Comparable<Revision> {
    /** The revision before any value. */
    public static final Revision NONE = new Revision(0);

    @Override
    public int compareTo(Revision other) {
        return Long.compare(number, other.number);
    }

    /**
     * Tells whether this revision comes later.
     *
     * @param other the revision to compare with
     * @return true if later, false if earlier or the same
     */
    public boolean isAfter(Revision other) {
        return compareTo(other) > 0;
    }
}
