package org.fescuehollow.bench.policy;

import org.HdrHistogram.Histogram;
import org.fescuehollow.model.Priority;

/** Collects the waits of a run. Not safe for concurrent use. */
final class Recorder {
    private static final int DIGITS = 3;

    private final Histogram mAll = new Histogram(DIGITS);
    private final Histogram mRivals = new Histogram(DIGITS);
    private final Histogram mInteractive = new Histogram(DIGITS);
    private int mStarted;
    private int mStalled;
    private int mRefused;
    private double mBusyNanos;
    private double mRunningNanos;

    void started(Request r, long now, boolean stalled) {
        long micros = (now - r.arrivalNanos()) / 1_000;
        mStarted++;
        mStalled += stalled ? 1 : 0;
        mAll.recordValue(micros);
        if (r.team() != 0) {
            mRivals.recordValue(micros);
        }
        if (r.priority() == Priority.INTERACTIVE) {
            mInteractive.recordValue(micros);
        }
    }

    void refused() {
        mRefused++;
    }

    void ran(int running, long nanos) {
        if (running > 0) {
            mBusyNanos += nanos;
            mRunningNanos += (double) running * nanos;
        }
    }

    PolicyResult result(String name, int requests, FakeStore store, int batch) {
        return new PolicyResult(
                name,
                requests,
                mStarted == 0 ? 0 : (double) mStalled / mStarted,
                millis(mAll, 50),
                millis(mAll, 95),
                millis(mAll, 99),
                store.loads(),
                mBusyNanos == 0 ? 0 : mRunningNanos / mBusyNanos / batch,
                mRefused,
                store.mostInTransit(),
                millis(mRivals, 99),
                millis(mInteractive, 99));
    }

    private static double millis(Histogram h, double percentile) {
        return h.getTotalCount() == 0 ? 0 : h.getValueAtPercentile(percentile) / 1_000.0;
    }
}
