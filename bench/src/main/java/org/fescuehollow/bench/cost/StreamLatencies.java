package org.fescuehollow.bench.cost;

import org.HdrHistogram.Histogram;

/**
 * Latencies of streamed responses: to the first token, and between tokens. Not safe for concurrent
 * use.
 */
final class StreamLatencies {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Histogram mFirstToken = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mInterToken = new Histogram(SIGNIFICANT_DIGITS);
    private int mComplete;
    private int mBroken;

    void recordFirstToken(long nanos) {
        mFirstToken.recordValue(nanos);
    }

    void recordInterToken(long nanos) {
        mInterToken.recordValue(nanos);
    }

    void recordEnd(boolean isComplete) {
        mComplete += isComplete ? 1 : 0;
        mBroken += isComplete ? 0 : 1;
    }

    int count() {
        return mComplete + mBroken;
    }

    int broken() {
        return mBroken;
    }

    double firstTokenMillis(double percentile) {
        return mFirstToken.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    double interTokenMillis(double percentile) {
        return mInterToken.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
