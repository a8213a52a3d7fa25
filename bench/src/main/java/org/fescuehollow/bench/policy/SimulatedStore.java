package org.fescuehollow.bench.policy;

import java.time.Duration;

/**
 * The weight store in virtual time: above the loads that it serves at full speed, each load takes
 * longer in proportion to the loads in transit.
 *
 * <p>Not safe for concurrent use.
 */
final class SimulatedStore {
    private static final long LOAD_NANOS = Duration.ofMillis(250).toNanos();

    private final VirtualTimeline mTimeline;
    private final int mFullSpeedLoads;
    private int mInTransit;
    private int mMaxInTransit;
    private long mLoads;

    SimulatedStore(VirtualTimeline timeline, int fullSpeedLoads) {
        mTimeline = timeline;
        mFullSpeedLoads = fullSpeedLoads;
    }

    void load(Runnable done) {
        mLoads++;
        mInTransit++;
        mMaxInTransit = Math.max(mMaxInTransit, mInTransit);
        long nanos = LOAD_NANOS * Math.max(mFullSpeedLoads, mInTransit) / mFullSpeedLoads;
        mTimeline.scheduleAfter(
                nanos,
                () -> {
                    mInTransit--;
                    done.run();
                });
    }

    long loads() {
        return mLoads;
    }

    int maxInTransit() {
        return mMaxInTransit;
    }
}
