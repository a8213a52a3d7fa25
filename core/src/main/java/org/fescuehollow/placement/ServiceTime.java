package org.fescuehollow.placement;

/** Mean time of attempts on a server, ageing with each sample. Not safe for concurrent use. */
final class ServiceTime {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double NEW_SAMPLE_SHARE = 0.1;

    private double mMeanNanos = NANOS_PER_SECOND;

    void record(long nanos) {
        mMeanNanos += NEW_SAMPLE_SHARE * (nanos - mMeanNanos);
    }

    int drainSeconds(int queued, int batch) {
        return (int) Math.ceil(mMeanNanos * queued / batch / NANOS_PER_SECOND);
    }
}
