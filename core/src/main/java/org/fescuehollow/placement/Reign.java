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
final class Reign {
    /** How long a coordinator that was fenced off leaves the server to the other one. */
    static final Duration SUPERSEDED = Duration.ofSeconds(30);

    private final String mNode;
    private String mIncarnation = "";
    private long mQuietNanos;
    private boolean mKnown;
    private boolean mSuperseded;
    private long mSupersededNanos;
    private boolean mRetired;

    Reign(String node) {
        mNode = node;
    }

    void begin(long quietNanos, boolean known) {
        mQuietNanos = quietNanos;
        mKnown = known;
        mSuperseded = false;
    }

    /** Returns the fencing number of the reign that begins with the server's first report. */
    long takeOver(long highestFencing) {
        mKnown = true;
        return FencingNumber.after(highestFencing, mNode);
    }

    /** Takes the server's incarnation; returns true if the server has restarted since the last. */
    boolean isNewLife(String incarnation) {
        boolean restarted = !mIncarnation.isEmpty() && !mIncarnation.equals(incarnation);
        mIncarnation = incarnation;
        return restarted;
    }

    void supersede(long now) {
        mSuperseded = true;
        mSupersededNanos = now;
    }

    boolean mayReturn(long now) {
        return mSuperseded && !mRetired && now - mSupersededNanos >= SUPERSEDED.toNanos();
    }

    void retire() {
        mRetired = true;
    }

    boolean isKnown() {
        return mKnown;
    }

    boolean isActive() {
        return mKnown && !isOver();
    }

    boolean isOver() {
        return mRetired || mSuperseded;
    }

    long quietNanos() {
        return mQuietNanos;
    }

    @Override
    public String toString() {
        if (mRetired) {
            return "retired";
        }
        if (mSuperseded) {
            return "superseded";
        }
        return mKnown ? "known" : "unknown";
    }
}
