package org.fescuehollow.dispatch;

/**
 * What one incarnation of an engine last said of the rate of requests that it takes.
 *
 * <p>Invariant: taking the latest of several words yields the same in any order. Immutable and safe
 * for use by any thread. Times are monotonic, in nanoseconds.
 *
 * @param perSecond the rate that it last named, in requests per second
 * @param namedNanos when a response last named a rate
 * @param clearedNanos when a response last named none
 */
public record RateWord(double perSecond, long namedNanos, long clearedNanos) {
    /** Earlier than any response, yet far from an overflow of differences. */
    private static final long NEVER = Long.MIN_VALUE / 4;

    /** No word yet. */
    public static final RateWord NONE = new RateWord(0, NEVER, NEVER);

    /**
     * Returns the word of a response that names a rate.
     *
     * @param perSecond the rate in requests per second
     * @param now the monotonic time in nanoseconds
     * @return the word
     */
    public static RateWord named(double perSecond, long now) {
        return new RateWord(perSecond, now, NEVER);
    }

    /**
     * Returns this word after a response that names no rate.
     *
     * @param now the monotonic time in nanoseconds
     * @return the word
     */
    public RateWord cleared(long now) {
        return new RateWord(perSecond, namedNanos, now);
    }

    /**
     * Returns whether the engine has ever named a rate.
     *
     * @return true if there is a rate and the time at which it was last named
     */
    public boolean isNamed() {
        return namedNanos != NEVER;
    }

    /**
     * Returns whether there was a response without a rate.
     *
     * @return true if there is the time of the last such response
     */
    public boolean isCleared() {
        return clearedNanos != NEVER;
    }

    /** Returns whether there was any response while a rate was known. */
    boolean isHeard() {
        return isNamed() || isCleared();
    }

    long lastNanos() {
        return Math.max(namedNanos, clearedNanos);
    }

    RateWord latest(RateWord other) {
        RateWord named = other.namedNanos > namedNanos ? other : this;
        return new RateWord(
                named.perSecond, named.namedNanos, Math.max(clearedNanos, other.clearedNanos));
    }
}
