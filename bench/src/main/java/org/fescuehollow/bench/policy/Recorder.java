package org.fescuehollow.bench.policy;

import org.HdrHistogram.Histogram;
import org.fescuehollow.model.Priority;

/** Collects the waits of a run. Not safe for concurrent use. */
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

    void recordStart(Request r, long now, boolean stalled) {
        long micros = (now - r.arrivalNanos()) / 1_000;
        mStarted++;
        mStalled += stalled ? 1 : 0;
        mAll.recordValue(micros);
        if (r.team() != 0) {
            mOtherTeams.recordValue(micros);
        }
        if (r.priority() == Priority.INTERACTIVE) {
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
                store.mostInTransit(),
                millis(mOtherTeams, 99),
                millis(mInteractive, 99));
    }

    private static double millis(Histogram h, double percentile) {
        return h.getTotalCount() == 0 ? 0 : h.getValueAtPercentile(percentile) / 1_000.0;
    }
}
