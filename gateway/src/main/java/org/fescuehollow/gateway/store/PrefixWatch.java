package org.fescuehollow.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreException;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StorePage;

/**
 * Reads everything under a prefix of the store, then follows its changes.
 *
 * <p>Invariant: one call at a time; a failed call is repeated after a pause that doubles. Used on
 * the node's loop.
 */
final class PrefixWatch {
    /** The first pause after a failure. */
    private static final long FIRST_PAUSE_MILLIS = 100;

    /** The longest pause; a change has to be in force within two seconds of the store's return. */
    private static final long LONGEST_PAUSE_MILLIS = 800;

    private final NodeContext mContext;
    private final StoreClient mStore;
    private final String mPrefix;
    private final Duration mWait;
    private final Duration mPause;
    private final Consumer<Change> mListener;
    private List<StoreItem> mPages = new ArrayList<>();
    private long mRevision = -1;
    private long mFailureMillis;
    private long mReadingSince = Long.MIN_VALUE;
    private boolean mReading;
    private boolean mStopped;

    /** What was read: everything, or what has changed. */
    record Change(boolean whole, List<StoreItem> items) {}

    PrefixWatch(
            NodeContext context,
            StoreClient store,
            String prefix,
            Duration wait,
            Duration pause,
            Consumer<Change> listener) {
        mContext = context;
        mStore = store;
        mPrefix = prefix;
        mWait = wait;
        mPause = pause;
        mListener = listener;
    }

    void start() {
        readPage("");
    }

    void stop() {
        mStopped = true;
    }

    /** Tells whether the last call was answered. */
    boolean isReading(long now) {
        return mReading;
    }

    /** Tells whether calls have been answered for some time without a failure. */
    boolean isSettled(long now, Duration time) {
        return mReading && now - mReadingSince >= time.toNanos();
    }

    private void readPage(String after) {
        mStore.range(mPrefix, after).onSuccess(p -> guarded(() -> read(p))).onFailure(this::failed);
    }

    private void read(StorePage page) {
        answered();
        mPages.addAll(page.items());
        // Pages are no snapshot: changes since the first one are followed.
        mRevision = mRevision < 0 ? page.revision() : mRevision;
        if (page.truncated() && !page.items().isEmpty()) {
            readPage(page.items().get(page.items().size() - 1).key());
            return;
        }
        Change all = new Change(true, mPages);
        mPages = new ArrayList<>();
        mListener.accept(all);
        later(mPause.toMillis(), this::watch);
    }

    private void watch() {
        mStore.watch(mPrefix, mRevision, mWait.toMillis())
                .onSuccess(p -> guarded(() -> changed(p)))
                .onFailure(this::failed);
    }

    private void changed(StorePage page) {
        answered();
        mRevision = Math.max(mRevision, page.revision());
        if (!page.items().isEmpty()) {
            mListener.accept(new Change(false, page.items()));
        }
        later(page.items().isEmpty() ? 0 : mPause.toMillis(), this::watch);
    }

    private void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    private void answered() {
        mFailureMillis = 0;
        if (!mReading) {
            mReading = true;
            mReadingSince = mContext.clock().now();
            mContext.log().line("store_regained", "prefix", mPrefix, "revision", mRevision);
        }
    }

    private void failed(Throwable cause) {
        if (mReading || mFailureMillis == 0) {
            mContext.metrics().event("store_lost");
            mContext.log().line("store_lost", "prefix", mPrefix, "cause", cause);
        }
        mReading = false;
        mFailureMillis =
                Math.min(LONGEST_PAUSE_MILLIS, Math.max(FIRST_PAUSE_MILLIS, mFailureMillis * 2));
        boolean again = cause instanceof StoreException e && e.isHistoryGone() || mRevision < 0;
        if (again) {
            mRevision = -1;
            mPages = new ArrayList<>();
        }
        later(mFailureMillis, again ? this::start : this::watch);
    }

    private void later(long millis, Runnable action) {
        if (mStopped) {
            return;
        }
        if (millis <= 0) {
            mContext.vertx().runOnContext(v -> action.run());
        } else {
            mContext.vertx().setTimer(millis, t -> action.run());
        }
    }
}
