package org.fescuehollow.placement;

/**
 * Exponentially weighted moving average of the time that attempts run on a server. Not safe for
 * concurrent use.
 */
final class MeanServiceTime {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double EWMA_WEIGHT = 0.1;

    private double mMeanNanos = NANOS_PER_SECOND;

    void record(long sampleNanos) {
        mMeanNanos += EWMA_WEIGHT * (sampleNanos - mMeanNanos);
    }

    /** Returns the expected wait of an attempt at the end of the queue, in nanoseconds. */
    double queueWaitNanos(int running, int queued, int batch) {
        int ahead = running + queued - batch + 1;
        return ahead <= 0 ? 0 : mMeanNanos * ahead / batch;
    }

    int drainSeconds(int queued, int batch) {
        return (int) Math.ceil(mMeanNanos * queued / batch / NANOS_PER_SECOND);
    }
}
