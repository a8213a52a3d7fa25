package org.fescuehollow.dispatch;

/**
 * How fast the engines of a service read prompts, learnt from answers.
 *
 * <p>Reading takes turns with the writing of other requests, so the speed that counts is what was
 * seen under load, not the engine's best. Not safe for concurrent use.
 */
final class ReadingSpeed {
    /** Tokens a millisecond until one is measured; a common accelerator. */
    private static final double INITIAL = 30;

    /** What a new sample counts; about the last ten decide. */
    private static final double SHARE = 0.1;

    /** Shorter prompts tell more of the way there and back than of reading. */
    private static final long LEAST_TOKENS = 2_000;

    /** Bounds of what is believed; a sample beyond says more of a fault than of the engine. */
    private static final double SLOWEST = 5;

    private static final double FASTEST = 120;

    private double mTokensPerMilli = INITIAL;

    /** Takes that a prompt's first answer came. */
    void sample(long tokens, double millis) {
        if (tokens >= LEAST_TOKENS && millis > 0) {
            double speed = Math.min(FASTEST, Math.max(SLOWEST, tokens / millis));
            mTokensPerMilli += SHARE * (speed - mTokensPerMilli);
        }
    }

    /** Returns the time to read tokens, in milliseconds. */
    double millis(long tokens) {
        return tokens / mTokensPerMilli;
    }

    double tokensPerMilli() {
        return mTokensPerMilli;
    }
}
