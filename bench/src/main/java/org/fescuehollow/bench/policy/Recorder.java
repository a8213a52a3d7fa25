package org.fescuehollow.bench.policy;

import org.HdrHistogram.Histogram;
import org.fescuehollow.model.Priority;

/** Collects start latencies and engine utilization of a run. Not safe for concurrent use. */
final class Recorder {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram mAll = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mOtherTeams = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mInteractive = new Histogram(SIGNIFICANT_DIGITS);
    private int mStarted;
    private int mStalled;
    private int mRejected;
    private double mBusyNanos;
    private double mRunningNanos;

    void recordStart(Request request, long now, boolean stalled) {
        long micros = (now - request.arrivalNanos()) / 1_000;
        mStarted++;
        mStalled += stalled ? 1 : 0;
        mAll.recordValue(micros);
        if (request.team() != 0) {
            mOtherTeams.recordValue(micros);
        }
        if (request.priority() == Priority.INTERACTIVE) {
            mInteractive.recordValue(micros);
        }
    }

    void recordRejection() {
        mRejected++;
    }

    void recordRunning(int running, long nanos) {
        if (running > 0) {
            mBusyNanos += nanos;
            mRunningNanos += (double) running * nanos;
        }
    }

    PolicyResult result(String name, int requests, SimulatedStore store, int batch) {
        return new PolicyResult(
                name,
                requests,
                mStarted == 0 ? 0 : (double) mStalled / mStarted,
                millis(mAll, 50),
                millis(mAll, 95),
                millis(mAll, 99),
                store.loads(),
                mBusyNanos == 0 ? 0 : mRunningNanos / mBusyNanos / batch,
                mRejected,
                store.maxInTransit(),
                millis(mOtherTeams, 99),
                millis(mInteractive, 99));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0
                ? 0
                : histogram.getValueAtPercentile(percentile) / 1_000.0;
    }
}
