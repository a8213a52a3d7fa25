package org.fescuehollow.placement;

import java.util.HashSet;
import java.util.Set;

/**
 * One adapter slot of an engine and what it holds.
 *
 * <p>Invariant: only a resident adapter is pinned. Not safe for concurrent use.
 */
final class Slot {
    /** What a slot is doing. */
    enum State {
        /** The load order is under way. */
        LOADING,
        /** The adapter can be used. */
        RESIDENT,
        /** About to be given up, once the engine confirms that nothing uses it. */
        CONFIRMING,
        /** The unload order is under way. */
        UNLOADING
    }

    private final Set<String> mPins = new HashSet<>();
    private State mState;
    private long mChangedNanos;
    private int mForeignRequests;
    private int mPeakPins;
    private int mPreviousPeakPins;

    Slot(State state, long now) {
        mState = state;
        mChangedNanos = now;
    }

    State state() {
        return mState;
    }

    void setState(State state, long now) {
        boolean leaves = state == State.CONFIRMING || state == State.UNLOADING;
        if (leaves && isPinned()) {
            throw new IllegalStateException("expected no pins before an unload, got " + mPins);
        }
        mState = state;
        mChangedNanos = now;
    }

    boolean isResidentSince(long nanos) {
        return mState == State.RESIDENT && mChangedNanos <= nanos;
    }

    void pin(String attempt) {
        if (mState != State.RESIDENT) {
            throw new IllegalStateException("expected a resident adapter, got " + mState);
        }
        mPins.add(attempt);
        mPeakPins = Math.max(mPeakPins, mPins.size());
    }

    void unpin(String attempt) {
        mPins.remove(attempt);
    }

    /**
     * Takes a late report: what it counts beyond this coordinator's recent requests belongs to
     * another coordinator.
     */
    void onReportedRunning(int running) {
        mForeignRequests = Math.max(0, running - Math.max(mPeakPins, mPreviousPeakPins));
        mPreviousPeakPins = mPeakPins;
        mPeakPins = mPins.size();
    }

    boolean isPinned() {
        return !mPins.isEmpty() || mForeignRequests > 0;
    }

    int pinCount() {
        return mPins.size();
    }

    int foreignRequests() {
        return mForeignRequests;
    }
}
