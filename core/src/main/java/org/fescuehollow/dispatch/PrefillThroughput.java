package org.fescuehollow.dispatch;

/**
 * Estimates the prefill throughput of the engines of a service from observed responses.
 *
 * <p>Engines interleave prefill with the decoding of other requests, so the estimate is the
 * throughput under load, not the engine's peak. Not safe for concurrent use.
 */
final class PrefillThroughput {
    /** Estimate before the first sample; typical of a common accelerator. */
    private static final double INITIAL_TOKENS_PER_MILLI = 30;

    /** Weight of a new sample in the moving average, which spans about ten samples. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Shorter prefills are ignored: the network round trip dominates their time. */
    private static final long MIN_SAMPLE_TOKENS = 2_000;

    /** Bounds of a sample; values outside come from faults rather than from the engine. */
    private static final double MIN_TOKENS_PER_MILLI = 5;

    private static final double MAX_TOKENS_PER_MILLI = 120;

    private double mTokensPerMilli = INITIAL_TOKENS_PER_MILLI;

    /** Adds the observed prefill of some tokens. */
    void addSample(long tokens, double millis) {
        if (tokens >= MIN_SAMPLE_TOKENS && millis > 0) {
            double tokensPerMilli =
                    Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, tokens / millis));
            mTokensPerMilli += SAMPLE_WEIGHT * (tokensPerMilli - mTokensPerMilli);
        }
    }

    /** Returns the estimated time to prefill a number of tokens, in milliseconds. */
    double prefillMillis(long tokens) {
        return tokens / mTokensPerMilli;
    }

    double tokensPerMilli() {
        return mTokensPerMilli;
    }
}
