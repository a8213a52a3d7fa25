package org.fescuehollow.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fescuehollow.catalog.WatchScheduler;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreException;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StorePage;

/**
 * Reads everything under a prefix of the store, then follows its changes.
 *
 * <p>Invariant: an answer counts only if no other one came since its call was sent, so changes are
 * told in order. Used on the node's loop.
 */
final class PrefixWatch {
    private final NodeContext mContext;
    private final StoreClient mStore;
    private final String mPrefix;
    private final Duration mPause;
    private final WatchScheduler mPacing;
    private final Consumer<Change> mListener;
    private List<StoreItem> mPages = new ArrayList<>();
    private boolean mFollowing;
    private long mRevision = -1;
    private long mReadingSince = Long.MIN_VALUE;
    private boolean mReading;
    private boolean mLost;
    private boolean mStopped;
    private long mTimer = -1;

    /** What was read: everything, or what has changed. */
    record Change(boolean whole, List<StoreItem> items) {}

    PrefixWatch(
            NodeContext context,
            StoreClient store,
            String prefix,
            WatchScheduler pacing,
            Duration pause,
            Consumer<Change> listener) {
        mContext = context;
        mStore = store;
        mPrefix = prefix;
        mPacing = pacing;
        mPause = pause;
        mListener = listener;
    }

    void start() {
        arm();
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

    /** Returns how long ago the store last answered. */
    Duration silence(long now) {
        return mPacing.timeSinceAnswer(now);
    }

    private void arm() {
        mContext.vertx().cancelTimer(mTimer);
        if (mStopped) {
            return;
        }
        long millis = Duration.ofNanos(mPacing.dueNanos() - mContext.clock().now()).toMillis();
        mTimer = mContext.vertx().setTimer(Math.max(1, millis), t -> send());
    }

    private void send() {
        long now = mContext.clock().now();
        if (mPacing.isOverdue()) {
            lost("no answer in time", now);
        }
        WatchScheduler.Call call = mPacing.startCall(now);
        if (mFollowing) {
            mStore.watch(mPrefix, mRevision, call.waitMillis(), call.timeoutMillis())
                    .onSuccess(p -> guarded(() -> changed(call, p)))
                    .onFailure(e -> failed(call, e));
        } else {
            String after = mPages.isEmpty() ? "" : mPages.get(mPages.size() - 1).key();
            mStore.readRange(mPrefix, after, call.timeoutMillis())
                    .onSuccess(p -> guarded(() -> read(call, p)))
                    .onFailure(e -> failed(call, e));
        }
        arm();
    }

    private void read(WatchScheduler.Call call, StorePage page) {
        boolean more = page.truncated() && !page.items().isEmpty();
        if (!answered(call, more ? Duration.ZERO : mPause)) {
            return;
        }
        mPages.addAll(page.items());
        // Pages are no snapshot: changes since the first one are followed.
        mRevision = mRevision < 0 ? page.revision() : mRevision;
        if (!more) {
            Change all = new Change(true, mPages);
            mPages = new ArrayList<>();
            mFollowing = true;
            mListener.accept(all);
        }
    }

    private void changed(WatchScheduler.Call call, StorePage page) {
        if (!answered(call, page.items().isEmpty() ? Duration.ZERO : mPause)) {
            return;
        }
        mRevision = Math.max(mRevision, page.revision());
        if (!page.items().isEmpty()) {
            mListener.accept(new Change(false, page.items()));
        }
    }

    /** What was read counts as read: a listener that fails does not make the store lost. */
    private void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            mContext.metrics().event("store_news_failed");
            mContext.log().line("store_news_failed", "prefix", mPrefix, "cause", e);
        }
    }

    private boolean answered(WatchScheduler.Call call, Duration pause) {
        long now = mContext.clock().now();
        int calls = mPacing.unansweredCalls();
        long silent = mPacing.timeSinceAnswer(now).toMillis();
        if (!mPacing.onAnswer(call.id(), pause, now)) {
            return false;
        }
        if (!mReading) {
            mReading = true;
            mReadingSince = now;
            mContext.log()
                    .line(
                            "store_regained",
                            "prefix",
                            mPrefix,
                            "revision",
                            mRevision,
                            "silent_ms",
                            silent,
                            "calls",
                            calls);
        }
        mLost = false;
        arm();
        return true;
    }

    private void failed(WatchScheduler.Call call, Throwable cause) {
        long now = mContext.clock().now();
        if (cause instanceof StoreException e && e.isHistoryGone()) {
            readAgain(call);
            return;
        }
        if (!mPacing.onFailure(call.id(), now)) {
            return;
        }
        mContext.metrics().event("store_call_failed");
        lost(cause, now);
        arm();
    }

    private void readAgain(WatchScheduler.Call call) {
        if (answered(call, Duration.ZERO)) {
            mContext.log().line("store_history_gone", "prefix", mPrefix, "revision", mRevision);
            mFollowing = false;
            mRevision = -1;
            mPages = new ArrayList<>();
        }
    }

    private void lost(Object cause, long now) {
        mReading = false;
        if (mLost) {
            return;
        }
        mLost = true;
        mContext.metrics().event("store_lost");
        mContext.log()
                .line(
                        "store_lost",
                        "prefix",
                        mPrefix,
                        "call_ms",
                        mPacing.callAge(now).toMillis(),
                        "silent_ms",
                        mPacing.timeSinceAnswer(now).toMillis(),
                        "cause",
                        cause);
    }
}
