package org.fescuehollow.placement;

import java.util.HashSet;
import java.util.Set;

/**
 * One adapter slot of an engine and the state of its adapter.
 *
 * <p>Invariant: only a resident adapter is pinned. Not safe for concurrent use.
 */
final class Slot {
    /** The state of a slot's adapter. */
    enum State {
        /** The engine loads the adapter. */
        LOADING,
        /** The adapter is loaded and can be used. */
        RESIDENT,
        /**
         * Selected for eviction; waits for a report that shows that no request uses the adapter.
         */
        CONFIRMING,
        /** The engine unloads the adapter. */
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
        boolean evicting = state == State.CONFIRMING || state == State.UNLOADING;
        if (evicting && isPinned()) {
            throw new IllegalStateException("expected no pins before an unload, got " + mPins);
        }
        mState = state;
        mChangedNanos = now;
    }

    boolean isResidentSince(long nanos) {
        return mState == State.RESIDENT && mChangedNanos <= nanos;
    }

    void pin(String attemptId) {
        if (mState != State.RESIDENT) {
            throw new IllegalStateException("expected a resident adapter, got " + mState);
        }
        mPins.add(attemptId);
        mPeakPins = Math.max(mPeakPins, mPins.size());
    }

    void unpin(String attemptId) {
        mPins.remove(attemptId);
    }

    /**
     * Updates the count of foreign requests from a report, which may be late: requests beyond this
     * coordinator's peak in the last two report intervals were sent by another coordinator.
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
