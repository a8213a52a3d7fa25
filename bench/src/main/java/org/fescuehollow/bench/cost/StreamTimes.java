package org.fescuehollow.bench.cost;

import org.HdrHistogram.Histogram;

/**
 * Times of streamed answers: to the first token, and between tokens. Not safe for concurrent use.
 */
final class StreamTimes {
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Histogram mFirst = new Histogram(DIGITS);
    private final Histogram mBetween = new Histogram(DIGITS);
    private int mWhole;
    private int mBroken;

    void first(long nanos) {
        mFirst.recordValue(nanos);
    }

    void between(long nanos) {
        mBetween.recordValue(nanos);
    }

    void ended(boolean whole) {
        mWhole += whole ? 1 : 0;
        mBroken += whole ? 0 : 1;
    }

    int count() {
        return mWhole + mBroken;
    }

    int broken() {
        return mBroken;
    }

    double firstMillis(double percentile) {
        return mFirst.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    double betweenMillis(double percentile) {
        return mBetween.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
