package org.fescuehollow.placement;

import java.time.Duration;

/**
 * The time in which one node coordinates one backend server, as far as the node knows.
 *
 * <p>A reign begins unknown, until the server has reported; it may be superseded by another node's
 * higher fencing number, and returns after a while; once retired it is over for good.
 *
 * <p>Not safe for concurrent use.
 */
final class CoordinatorTerm {
    /** How long a coordinator that was fenced off leaves the server to the other one. */
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

    void begin(long quietNanos, boolean known) {
        mEvictionDelayNanos = quietNanos;
        mHasServerState = known;
        mSuperseded = false;
    }

    /** Returns the fencing number of the reign that begins with the server's first report. */
    long takeFencingNumber(long highestFencing) {
        mHasServerState = true;
        return FencingNumber.nextAfter(highestFencing, mNode);
    }

    /** Takes the server's incarnation; returns true if the server has restarted since the last. */
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
