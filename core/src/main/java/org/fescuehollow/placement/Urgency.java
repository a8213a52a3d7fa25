package org.fescuehollow.placement;

import java.util.Comparator;
import org.fescuehollow.model.Priority;

/**
 * The urgency of a load that needs a permit, comparable across nodes.
 *
 * <p>A load of a team within its share comes before one of a team over its share; then the higher
 * priority class comes first, then the longer total wait. Immutable and safe for use by any thread.
 *
 * @param overShare true if the team has recently used more than its share
 * @param priority the highest priority class among the waiting requests
 * @param waitedMillis the total time that they have waited, in milliseconds
 */
public record Urgency(boolean overShare, Priority priority, double waitedMillis)
        implements Comparable<Urgency> {
    private static final Comparator<Urgency> ORDER =
            Comparator.comparing(Urgency::overShare)
                    .thenComparing(Urgency::priority)
                    .thenComparing(Comparator.comparingDouble(Urgency::waitedMillis).reversed());

    /** Orders the more urgent load first. */
    @Override
    public int compareTo(Urgency other) {
        return ORDER.compare(this, other);
    }
}
