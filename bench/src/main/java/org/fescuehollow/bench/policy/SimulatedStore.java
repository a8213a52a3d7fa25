package org.fescuehollow.bench.policy;

import java.time.Duration;

/** The weight store in virtual time: slower beyond its full speed, and watched. Not thread-safe. */
final class SimulatedStore {
    private static final long LOAD_NANOS = Duration.ofMillis(250).toNanos();

    private final VirtualTimeline mTimeline;
    private final int mFullSpeed;
    private int mInTransit;
    private int mMost;
    private long mLoads;

    SimulatedStore(VirtualTimeline timeline, int fullSpeed) {
        mTimeline = timeline;
        mFullSpeed = fullSpeed;
    }

    void load(Runnable done) {
        mLoads++;
        mInTransit++;
        mMost = Math.max(mMost, mInTransit);
        long nanos = LOAD_NANOS * Math.max(mFullSpeed, mInTransit) / mFullSpeed;
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

    int mostInTransit() {
        return mMost;
    }
}
