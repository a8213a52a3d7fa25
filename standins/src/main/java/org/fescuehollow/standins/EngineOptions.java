package org.fescuehollow.standins;

/**
 * Options of an engine stand-in.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param slots number of adapter slots
 * @param tokenMillis time between two tokens in milliseconds; at least 1 is used
 * @param checksFencing true to reject orders whose fencing number is lower than the highest seen
 */
public record EngineOptions(int slots, long tokenMillis, boolean checksFencing) {
    /** Eight slots, one token per millisecond, fencing numbers not checked. */
    public static final EngineOptions DEFAULT = new EngineOptions(8, 1, false);
}
