package org.fescuehollow.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads all entries under a prefix of the store page by page, then follows their changes.
 *
 * <p>Failure pattern: the store returns from an older copy. Its revisions go back and are given out
 * again for other changes, so a watch that goes on from its revision misses changes without an
 * error. Each return raises the store's era. A reader that learns of a new era lists all entries
 * again and watches from the first page of that listing.
 *
 * <p>Invariants: a change contains answers of one era only, and none is older than that of any
 * change before; what was reported stays in force until the listing of a new era is complete. Not
 * safe for concurrent use.
 *
 * @param <T> the entries' type
 */
public final class PrefixReader<T> {
    private List<T> mPageItems = new ArrayList<>();
    private OptionalLong mEra = OptionalLong.empty();
    private String mLastKey = "";
    private long mRevision = -1;
    private long mGeneration;
    private boolean mWatching;
    private boolean mAnswered;
    private boolean mReturned;
    private int mReturnCount;

    /**
     * A call to the store.
     *
     * @param watch true to wait for changes, false to read a page
     * @param afterKey the key after which the page begins; empty for the first one
     * @param afterRevision the revision after which changes are wanted
     * @param generation identifies the listing that the call belongs to
     */
    public record Call(boolean watch, String afterKey, long afterRevision, long generation) {}

    /**
     * An answer of the store.
     *
     * @param <T> the entries' type
     * @param era the store's era; empty if the answer doesn't name it
     * @param revision the store's revision
     * @param lastKey the key of the last entry; empty if there is none
     * @param truncated true if more entries follow
     * @param items the entries of the page, or the changed entries
     */
    public record Answer<T>(
            OptionalLong era, long revision, String lastKey, boolean truncated, List<T> items) {}

    /**
     * Entries that were read.
     *
     * @param <T> the entries' type
     * @param complete true if these are all entries, false if they are those that changed
     * @param returned true if this is the first listing since the store returned from a copy
     * @param items the entries
     */
    public record Change<T>(boolean complete, boolean returned, List<T> items) {}

    /**
     * Returns the next call.
     *
     * @return the call
     */
    public Call nextCall() {
        return new Call(mWatching, mLastKey, mRevision, mGeneration);
    }

    /**
     * Returns whether all entries were listed, so that changes are followed.
     *
     * @return false during a listing
     */
    public boolean isWatching() {
        return mWatching;
    }

    /**
     * Returns the era of the entries.
     *
     * @return the highest era that the store named, or empty if it named none
     */
    public OptionalLong era() {
        return mEra;
    }

    /**
     * Returns how often the store returned from an older copy.
     *
     * @return the number of eras that followed the first one
     */
    public int returnCount() {
        return mReturnCount;
    }

    /**
     * Returns the revision from which changes are followed.
     *
     * @return the revision, or -1 before the first page
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Handles the answer to a call.
     *
     * @param call the call
     * @param answer its answer
     * @return what was read; empty if the listing isn't complete, nothing changed or the answer is
     *     outdated
     */
    public Optional<Change<T>> onAnswer(Call call, Answer<T> answer) {
        if (!isCurrent(call, answer.era())) {
            return Optional.empty();
        }
        mAnswered = true;
        return call.watch() ? onChanges(answer) : onPage(answer);
    }

    private Optional<Change<T>> onChanges(Answer<T> answer) {
        mRevision = Math.max(mRevision, answer.revision());
        return Optional.of(answer.items())
                .filter(items -> !items.isEmpty())
                .map(items -> new Change<>(false, false, items));
    }

    private Optional<Change<T>> onPage(Answer<T> answer) {
        mPageItems.addAll(answer.items());
        // The pages are not a snapshot, so the watch starts at the revision of the first page.
        mRevision = mRevision < 0 ? answer.revision() : mRevision;
        if (answer.truncated() && !answer.items().isEmpty()) {
            mLastKey = answer.lastKey();
            return Optional.empty();
        }
        Change<T> all = new Change<>(true, mReturned, mPageItems);
        mPageItems = new ArrayList<>();
        mWatching = true;
        mReturned = false;
        return Optional.of(all);
    }

    /**
     * Handles the answer that the store no longer has the history that a call asks for.
     *
     * @param call the call
     * @param era the store's era; empty if the answer doesn't name it
     */
    public void onHistoryGone(Call call, OptionalLong era) {
        if (isCurrent(call, era)) {
            startListing();
        }
    }

    /**
     * Returns whether an answer belongs to the current listing or watch, and starts a new listing
     * if it names a new era. An answer without an era is of the era of its call.
     */
    private boolean isCurrent(Call call, OptionalLong era) {
        boolean current = call.generation() == mGeneration;
        if (era.isEmpty() || era.equals(mEra)) {
            return current;
        }
        if (mEra.isPresent() && era.getAsLong() < mEra.getAsLong()) {
            return false;
        }
        boolean first = mEra.isEmpty() && !mAnswered;
        mEra = era;
        if (first) {
            return current;
        }
        mReturned = true;
        mReturnCount++;
        startListing();
        return false;
    }

    private void startListing() {
        mGeneration++;
        mPageItems = new ArrayList<>();
        mLastKey = "";
        mRevision = -1;
        mWatching = false;
    }
}
