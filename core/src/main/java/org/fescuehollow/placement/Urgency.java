package org.fescuehollow.placement;

import java.util.Comparator;
import org.fescuehollow.model.Priority;

/**
 * How much a load needs a permit, compared over all nodes.
 *
 * <p>Teams within their share go before teams over it, then the higher class, then the longer
 * waiting. Immutable and safe for use by any thread.
 *
 * @param overShare true if the team has taken more than its share lately
 * @param priority the highest class among the requests that wait
 * @param waitedMillis the sum of the time that they have waited, in milliseconds
 */
public record Urgency(boolean overShare, Priority priority, double waitedMillis)
        implements Comparable<Urgency> {
    private static final Comparator<Urgency> ORDER =
            Comparator.comparing(Urgency::overShare)
                    .thenComparing(Urgency::priority)
                    .thenComparing(Comparator.comparingDouble(Urgency::waitedMillis).reversed());

    /** Compares so that the more urgent comes first. */
    @Override
    public int compareTo(Urgency other) {
        return ORDER.compare(this, other);
    }
}
