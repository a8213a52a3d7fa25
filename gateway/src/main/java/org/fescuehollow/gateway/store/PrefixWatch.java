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
    private List<StoreItem> mPageItems = new ArrayList<>();
    private boolean mWatching;
    private long mRevision = -1;
    private long mReachableSince = Long.MIN_VALUE;
    private boolean mReachable;
    private boolean mLossReported;
    private boolean mStopped;
    private long mCallTimer = -1;

    /** What was read: everything, or what has changed. */
    record Change(boolean complete, List<StoreItem> items) {}

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
        scheduleCall();
    }

    void stop() {
        mStopped = true;
    }

    /** Tells whether the last call was answered. */
    boolean isReachable(long now) {
        return mReachable;
    }

    /** Tells whether calls have been answered for some time without a failure. */
    boolean isReachableFor(long now, Duration time) {
        return mReachable && now - mReachableSince >= time.toNanos();
    }

    /** Returns how long ago the store last answered. */
    Duration silence(long now) {
        return mPacing.timeSinceAnswer(now);
    }

    private void scheduleCall() {
        mContext.vertx().cancelTimer(mCallTimer);
        if (mStopped) {
            return;
        }
        long millis = Duration.ofNanos(mPacing.dueNanos() - mContext.clock().now()).toMillis();
        mCallTimer = mContext.vertx().setTimer(Math.max(1, millis), t -> sendCall());
    }

    private void sendCall() {
        long now = mContext.clock().now();
        if (mPacing.isOverdue()) {
            onUnreachable("no answer in time", now);
        }
        WatchScheduler.Call call = mPacing.startCall(now);
        if (mWatching) {
            mStore.watch(mPrefix, mRevision, call.waitMillis(), call.timeoutMillis())
                    .onSuccess(p -> runGuarded(() -> onChanges(call, p)))
                    .onFailure(e -> onFailure(call, e));
        } else {
            String after = mPageItems.isEmpty() ? "" : mPageItems.get(mPageItems.size() - 1).key();
            mStore.readRange(mPrefix, after, call.timeoutMillis())
                    .onSuccess(p -> runGuarded(() -> onPage(call, p)))
                    .onFailure(e -> onFailure(call, e));
        }
        scheduleCall();
    }

    private void onPage(WatchScheduler.Call call, StorePage page) {
        boolean more = page.truncated() && !page.items().isEmpty();
        if (!onAnswer(call, more ? Duration.ZERO : mPause)) {
            return;
        }
        mPageItems.addAll(page.items());
        // Pages are no snapshot: changes since the first one are followed.
        mRevision = mRevision < 0 ? page.revision() : mRevision;
        if (!more) {
            Change all = new Change(true, mPageItems);
            mPageItems = new ArrayList<>();
            mWatching = true;
            mListener.accept(all);
        }
    }

    private void onChanges(WatchScheduler.Call call, StorePage page) {
        if (!onAnswer(call, page.items().isEmpty() ? Duration.ZERO : mPause)) {
            return;
        }
        mRevision = Math.max(mRevision, page.revision());
        if (!page.items().isEmpty()) {
            mListener.accept(new Change(false, page.items()));
        }
    }

    /** What was read counts as read: a listener that fails does not make the store lost. */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            mContext.metrics().countEvent("store_news_failed");
            mContext.log().event("store_news_failed", "prefix", mPrefix, "cause", e);
        }
    }

    private boolean onAnswer(WatchScheduler.Call call, Duration pause) {
        long now = mContext.clock().now();
        int calls = mPacing.unansweredCalls();
        long silent = mPacing.timeSinceAnswer(now).toMillis();
        if (!mPacing.onAnswer(call.id(), pause, now)) {
            return false;
        }
        if (!mReachable) {
            mReachable = true;
            mReachableSince = now;
            mContext.log()
                    .event(
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
        mLossReported = false;
        scheduleCall();
        return true;
    }

    private void onFailure(WatchScheduler.Call call, Throwable cause) {
        long now = mContext.clock().now();
        if (cause instanceof StoreException e && e.isHistoryGone()) {
            restartRead(call);
            return;
        }
        if (!mPacing.onFailure(call.id(), now)) {
            return;
        }
        mContext.metrics().countEvent("store_call_failed");
        onUnreachable(cause, now);
        scheduleCall();
    }

    private void restartRead(WatchScheduler.Call call) {
        if (onAnswer(call, Duration.ZERO)) {
            mContext.log().event("store_history_gone", "prefix", mPrefix, "revision", mRevision);
            mWatching = false;
            mRevision = -1;
            mPageItems = new ArrayList<>();
        }
    }

    private void onUnreachable(Object cause, long now) {
        mReachable = false;
        if (mLossReported) {
            return;
        }
        mLossReported = true;
        mContext.metrics().countEvent("store_lost");
        mContext.log()
                .event(
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
