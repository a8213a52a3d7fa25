package org.fescuehollow.placement;

import java.time.Duration;

/**
 * The period in which one node coordinates one backend server, as far as the node knows.
 *
 * <p>A term of a model engine begins without the server's state, which arrives with the server's
 * first report. A higher fencing number of another node supersedes the term, which may resume after
 * a backoff. A retired term never resumes.
 *
 * <p>Not safe for concurrent use.
 */
final class CoordinatorTerm {
    /** How long a superseded coordinator waits before it takes the server over again. */
    static final Duration SUPERSEDED_BACKOFF = Duration.ofSeconds(30);

    private final String mNode;
    private String mIncarnation = "";
    private long mEvictionDelayNanos;
    private boolean mHasServerState;
    private boolean mSuperseded;
    private long mSupersededAtNanos;
    private boolean mRetired;

    CoordinatorTerm(String node) {
        mNode = node;
    }

    void begin(long evictionDelayNanos, boolean hasServerState) {
        mEvictionDelayNanos = evictionDelayNanos;
        mHasServerState = hasServerState;
        mSuperseded = false;
    }

    /**
     * Marks the server's state as known and returns a fencing number above the highest reported.
     */
    long takeFencingNumber(long highestFencing) {
        mHasServerState = true;
        return FencingNumber.nextAfter(highestFencing, mNode);
    }

    /**
     * Stores the server's incarnation and returns whether the server has restarted since the last
     * call.
     */
    boolean updateIncarnation(String incarnation) {
        boolean restarted = !mIncarnation.isEmpty() && !mIncarnation.equals(incarnation);
        mIncarnation = incarnation;
        return restarted;
    }

    void supersede(long now) {
        mSuperseded = true;
        mSupersededAtNanos = now;
    }

    boolean mayResume(long now) {
        return mSuperseded && !mRetired && now - mSupersededAtNanos >= SUPERSEDED_BACKOFF.toNanos();
    }

    void retire() {
        mRetired = true;
    }

    boolean hasServerState() {
        return mHasServerState;
    }

    boolean isActive() {
        return mHasServerState && !isOver();
    }

    boolean isOver() {
        return mRetired || mSuperseded;
    }

    long evictionDelayNanos() {
        return mEvictionDelayNanos;
    }

    @Override
    public String toString() {
        if (mRetired) {
            return "retired";
        }
        if (mSuperseded) {
            return "superseded";
        }
        return mHasServerState ? "known" : "unknown";
    }
}
