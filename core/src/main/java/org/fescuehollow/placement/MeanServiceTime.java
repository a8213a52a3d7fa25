package org.fescuehollow.placement;

/** Mean time of attempts on a server, ageing with each sample. Not safe for concurrent use. */
final class MeanServiceTime {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double EWMA_WEIGHT = 0.1;

    private double mMeanNanos = NANOS_PER_SECOND;

    void record(long nanos) {
        mMeanNanos += EWMA_WEIGHT * (nanos - mMeanNanos);
    }

    /** Returns how long an attempt at the queue's end waits for its turn. */
    double queueWaitNanos(int running, int queued, int batch) {
        int ahead = running + queued - batch + 1;
        return ahead <= 0 ? 0 : mMeanNanos * ahead / batch;
    }

    int drainSeconds(int queued, int batch) {
        return (int) Math.ceil(mMeanNanos * queued / batch / NANOS_PER_SECOND);
    }
}
