package org.fescuehollow.catalog;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides from which old revision a process that has just started reads the changes that the store
 * still keeps.
 *
 * <p>The store doesn't tell how far back it goes, and may have dropped changes sooner than it
 * promises. An engine writes about once per heartbeat, but nothing while its entry stays the same,
 * so only the highest number of changes is known. The search halves the range with calls that
 * return no changes, and then reads them once.
 *
 * <p>Invariants: at most {@value #MAX_CALLS} calls; no revision is negative. Not safe for
 * concurrent use.
 */
public final class HistorySearch {
    /** Calls of one search. */
    public static final int MAX_CALLS = 6;

    /** Engines also write when their state changes, and others write to the store, too. */
    private static final double OTHER_WRITES_FACTOR = 1.2;

    /** Entries may have expired while the store was away. */
    private static final int MIN_ENGINES = 10;

    /** Bounds the search if the settings are unusual. */
    private static final long MAX_REVISIONS = 1_000_000;

    /** The oldest changes are dropped while the search goes on; a share of those that are kept. */
    private static final double AGEING_SHARE = 0.02;

    /** A store with more changes than this share of the bound has probably dropped the first. */
    private static final double OLDEST_SHARE = 0.4;

    private final long mRevision;
    private final boolean mTriesOldest;
    private long mKept;
    private long mGone;
    private Call mCall = new Call(0, false);
    private int mCalls;
    private boolean mDone;

    /**
     * A call for the changes after a revision.
     *
     * @param after the revision
     * @param withChanges true to read the changes, false to learn only whether they are kept
     */
    public record Call(long after, boolean withChanges) {}

    /**
     * Starts a search.
     *
     * @param revision the store's revision
     * @param engines the number of engines that are listed
     * @param history how long the store keeps changes
     * @param heartbeat the time between two writes of an engine
     */
    public HistorySearch(long revision, int engines, Duration history, Duration heartbeat) {
        mRevision = revision;
        double beats = (double) history.toNanos() / Math.max(1, heartbeat.toNanos());
        double changes =
                Math.min(
                        MAX_REVISIONS,
                        Math.max(MIN_ENGINES, engines) * beats * OTHER_WRITES_FACTOR);
        mKept = revision;
        mGone = Math.max(-1, revision - (long) Math.ceil(changes));
        mTriesOldest = revision <= changes * OLDEST_SHARE;
        mDone = changes < 1 || revision <= 0;
    }

    /**
     * Returns the next call. To be called once at the start and once after each answer.
     *
     * @return the call, or empty if the search is over
     */
    public Optional<Call> next() {
        if (mDone || mCalls >= MAX_CALLS) {
            return Optional.empty();
        }
        mCalls++;
        mCall = chooseCall();
        return Optional.of(mCall);
    }

    private Call chooseCall() {
        if (mTriesOldest && mCalls == 1) {
            // All that was ever written may still be kept.
            return new Call(0, true);
        }
        long middle = mGone + (mKept - mGone) / 2;
        if (mCalls < MAX_CALLS) {
            return new Call(middle, false);
        }
        long ageing = (long) Math.ceil((mRevision - mKept) * AGEING_SHARE);
        return new Call(mKept == mRevision ? middle : mKept + ageing, true);
    }

    /** Handles the answer that all changes after the revision of the last call are kept. */
    public void onKept() {
        mKept = Math.min(mKept, mCall.after());
        mDone = mCall.withChanges();
    }

    /** Handles the answer that some of them are no longer kept. */
    public void onGone() {
        mGone = Math.max(mGone, mCall.after());
    }

    /**
     * Returns the number of calls.
     *
     * @return the calls until now
     */
    public int calls() {
        return mCalls;
    }
}
