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
 * Reads all entries under a prefix of the store, then watches for changes.
 *
 * <p>Invariant: the response to a call is ignored if another response was received since the call
 * was sent, so that changes are reported in order. Not thread-safe; used on the node's event loop.
 */
final class PrefixWatch {
    private final NodeContext mContext;
    private final StoreClient mStore;
    private final String mPrefix;
    private final Duration mPause;
    private final WatchScheduler mScheduler;
    private final Consumer<Change> mListener;
    private List<StoreItem> mPageItems = new ArrayList<>();
    private boolean mWatching;
    private long mRevision = -1;
    private long mReachableSince = Long.MIN_VALUE;
    private boolean mReachable;
    private boolean mLossReported;
    private boolean mStopped;
    private long mCallTimer = -1;

    /** The entries that were read: all under the prefix, or only those that have changed. */
    record Change(boolean complete, List<StoreItem> items) {}

    PrefixWatch(
            NodeContext context,
            StoreClient store,
            String prefix,
            WatchScheduler scheduler,
            Duration pause,
            Consumer<Change> listener) {
        mContext = context;
        mStore = store;
        mPrefix = prefix;
        mScheduler = scheduler;
        mPause = pause;
        mListener = listener;
    }

    void start() {
        scheduleCall();
    }

    void stop() {
        mStopped = true;
    }

    /** Returns whether the store answered the last call. */
    boolean isReachable(long now) {
        return mReachable;
    }

    /** Returns whether the store has answered all calls for at least the given time. */
    boolean isReachableFor(long now, Duration time) {
        return mReachable && now - mReachableSince >= time.toNanos();
    }

    /** Returns the time since the last response of the store. */
    Duration silence(long now) {
        return mScheduler.timeSinceAnswer(now);
    }

    private void scheduleCall() {
        mContext.vertx().cancelTimer(mCallTimer);
        if (mStopped) {
            return;
        }
        long millis = Duration.ofNanos(mScheduler.dueNanos() - mContext.clock().now()).toMillis();
        mCallTimer = mContext.vertx().setTimer(Math.max(1, millis), t -> sendCall());
    }

    private void sendCall() {
        long now = mContext.clock().now();
        if (mScheduler.isOverdue()) {
            onUnreachable("no answer in time", now);
        }
        WatchScheduler.Call call = mScheduler.startCall(now);
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
        // The pages are not a snapshot, so the watch starts at the revision of the first page.
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

    /**
     * Runs a callback and logs its exceptions, so that a failing listener is not taken for a
     * failure of the store.
     */
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
        int unansweredCalls = mScheduler.unansweredCalls();
        long silentMillis = mScheduler.timeSinceAnswer(now).toMillis();
        if (!mScheduler.onAnswer(call.id(), pause, now)) {
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
                            silentMillis,
                            "calls",
                            unansweredCalls);
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
        if (!mScheduler.onFailure(call.id(), now)) {
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
                        mScheduler.callAge(now).toMillis(),
                        "silent_ms",
                        mScheduler.timeSinceAnswer(now).toMillis(),
                        "cause",
                        cause);
    }
}
