package org.fescuehollow.dispatch;

/**
 * How fast the engines of a service read prompts, learnt from answers.
 *
 * <p>Reading takes turns with the writing of other requests, so the speed that counts is what was
 * seen under load, not the engine's best. Not safe for concurrent use.
 */
final class PrefillThroughput {
    /** Tokens a millisecond until one is measured; a common accelerator. */
    private static final double INITIAL_TOKENS_PER_MILLI = 30;

    /** What a new sample counts; about the last ten decide. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Shorter prompts tell more of the way there and back than of reading. */
    private static final long MIN_SAMPLE_TOKENS = 2_000;

    /** Bounds of what is believed; a sample beyond says more of a fault than of the engine. */
    private static final double MIN_TOKENS_PER_MILLI = 5;

    private static final double MAX_TOKENS_PER_MILLI = 120;

    private double mTokensPerMilli = INITIAL_TOKENS_PER_MILLI;

    /** Takes that a prompt's first answer came. */
    void addSample(long tokens, double millis) {
        if (tokens >= MIN_SAMPLE_TOKENS && millis > 0) {
            double speed =
                    Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, tokens / millis));
            mTokensPerMilli += SAMPLE_WEIGHT * (speed - mTokensPerMilli);
        }
    }

    /** Returns the time to read tokens, in milliseconds. */
    double prefillMillis(long tokens) {
        return tokens / mTokensPerMilli;
    }

    double tokensPerMilli() {
        return mTokensPerMilli;
    }
}
