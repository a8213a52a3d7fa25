package org.fescuehollow.placement;

import java.time.Duration;

/**
 * How often and how lately an adapter was used.
 *
 * <p>Invariant: the aged count halves with every half-life without use. Immutable and safe for use
 * by any thread.
 *
 * @param count the aged count at the last use
 * @param lastUsedNanos the last use, by the monotonic clock
 */
public record AdapterUsage(double count, long lastUsedNanos) {
    /** Uses no further apart than this count once. */
    public static final Duration COALESCING_WINDOW = Duration.ofMillis(500);

    /** Time in which a use loses half its weight. */
    public static final Duration HALF_LIFE = Duration.ofSeconds(60);

    /**
     * Returns the state after one more use. Uses that one load would have served together count
     * once.
     *
     * @param worth what the use counts, from zero to one
     * @param now the monotonic time in nanoseconds
     * @return the new state
     */
    public AdapterUsage withUse(double worth, long now) {
        boolean shared = count > 0 && now - lastUsedNanos < COALESCING_WINDOW.toNanos();
        return shared ? this : new AdapterUsage(decayedCount(now) + worth, now);
    }

    /**
     * Returns the count as it has aged until now.
     *
     * @param now the monotonic time in nanoseconds
     * @return the count, at least zero
     */
    public double decayedCount(long now) {
        double halfLives = (double) (now - lastUsedNanos) / HALF_LIFE.toNanos();
        return count * Math.exp(-halfLives * Math.log(2));
    }
}
