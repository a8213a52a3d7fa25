package org.fescuehollow.placement;

import java.time.Duration;

/**
 * An adapter's exponentially decayed use count and its last use.
 *
 * <p>Invariant: the decayed count halves with every half-life without use. Immutable and safe for
 * use by any thread.
 *
 * @param count the decayed count at the last use
 * @param lastUsedNanos the time of the last use, by the monotonic clock
 */
public record AdapterUsage(double count, long lastUsedNanos) {
    /** Uses that follow the last counted use within this time aren't counted. */
    public static final Duration COALESCING_WINDOW = Duration.ofMillis(500);

    /** The time after which a use counts half. */
    public static final Duration HALF_LIFE = Duration.ofSeconds(60);

    /**
     * Returns the usage after one more use. Uses within the coalescing window count once, since one
     * load would have served them all.
     *
     * @param weight the weight of the use, from zero to one
     * @param now the monotonic time in nanoseconds
     * @return the new usage
     */
    public AdapterUsage withUse(double weight, long now) {
        boolean coalesced = count > 0 && now - lastUsedNanos < COALESCING_WINDOW.toNanos();
        return coalesced ? this : new AdapterUsage(decayedCount(now) + weight, now);
    }

    /**
     * Returns the count, decayed to the given time.
     *
     * @param now the monotonic time in nanoseconds
     * @return the count, at least zero
     */
    public double decayedCount(long now) {
        double halfLives = (double) (now - lastUsedNanos) / HALF_LIFE.toNanos();
        return count * Math.exp(-halfLives * Math.log(2));
    }
}
