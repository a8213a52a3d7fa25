package org.fescuehollow.standins;

/**
 * How an engine stand-in behaves.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param slots adapters it holds
 * @param tokenMillis time between two tokens, in milliseconds
 * @param checksFencing true to refuse orders with old fencing numbers
 */
public record EngineOptions(int slots, long tokenMillis, boolean checksFencing) {
    /** Eight slots, a token each millisecond, fencing numbers ignored. */
    public static final EngineOptions DEFAULT = new EngineOptions(8, 1, false);
}
