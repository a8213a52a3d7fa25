package org.fescuehollow.gateway.store;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.fescuehollow.catalog.PrefixReader;
import org.fescuehollow.catalog.WatchScheduler;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreException;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StorePage;

/**
 * Sends the calls that read the entries under a prefix of the store and watch their changes, as
 * {@link PrefixReader} and {@link WatchScheduler} decide.
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
    private final Consumer<PrefixReader.Change<StoreItem>> mListener;
    private final PrefixReader<StoreItem> mReader = new PrefixReader<>();
    private long mReachableSince = Long.MIN_VALUE;
    private boolean mReachable;
    private boolean mLossReported;
    private boolean mStopped;
    private long mCallTimer = -1;
    private LongConsumer mReadListener = nanos -> {};

    PrefixWatch(
            NodeContext context,
            StoreClient store,
            String prefix,
            WatchScheduler scheduler,
            Duration pause,
            Consumer<PrefixReader.Change<StoreItem>> listener) {
        mContext = context;
        mStore = store;
        mPrefix = prefix;
        mScheduler = scheduler;
        mPause = pause;
        mListener = listener;
    }

    /**
     * Registers a listener that learns until when all changes have been passed on.
     *
     * @param listener receives a monotonic time in nanoseconds after each answer of a watch, and
     *     once all entries were listed
     */
    void onRead(LongConsumer listener) {
        mReadListener = listener;
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
        PrefixReader.Call read = mReader.nextCall();
        Future<StorePage> answer =
                read.watch()
                        ? mStore.watch(
                                mPrefix,
                                read.afterRevision(),
                                call.waitMillis(),
                                call.timeoutMillis())
                        : mStore.readRange(mPrefix, read.afterKey(), call.timeoutMillis());
        answer.onSuccess(p -> runGuarded(() -> onAnswer(call, read, p, now)))
                .onFailure(e -> onFailure(call, read, e));
        scheduleCall();
    }

    private void onAnswer(
            WatchScheduler.Call call, PrefixReader.Call read, StorePage page, long sentNanos) {
        if (!mScheduler.isOpen(call.id())) {
            return;
        }
        int returns = mReader.returnCount();
        Optional<PrefixReader.Change<StoreItem>> change = mReader.onAnswer(read, answer(page));
        if (mReader.returnCount() > returns) {
            onReturned(read);
        }
        acceptAnswer(call, change.isPresent() ? mPause : Duration.ZERO);
        change.ifPresent(mListener);
        if (mReader.isWatching()) {
            mReadListener.accept(answerNanos(call, read, sentNanos));
        }
    }

    /** Returns when the store answered, at the earliest if the answer took longer than it waits. */
    private long answerNanos(WatchScheduler.Call call, PrefixReader.Call read, long sentNanos) {
        long waitMillis = read.watch() ? call.waitMillis() : 0;
        long latest = sentNanos + Duration.ofMillis(waitMillis).toNanos();
        return Math.min(mContext.clock().now(), latest);
    }

    /** Returns the revision from which changes are followed. */
    long revision() {
        return mReader.revision();
    }

    /** Returns the store's era, if it names one. */
    OptionalLong era() {
        return mReader.era();
    }

    private static PrefixReader.Answer<StoreItem> answer(StorePage page) {
        List<StoreItem> items = page.items();
        String lastKey = items.isEmpty() ? "" : items.get(items.size() - 1).key();
        return new PrefixReader.Answer<>(
                page.era(), page.revision(), lastKey, page.truncated(), items);
    }

    /** Handles the return of the store: entries of running servers may be missing after it. */
    private void onReturned(PrefixReader.Call call) {
        mReachableSince = mContext.clock().now();
        mContext.metrics().countEvent("store_returned");
        mContext.log()
                .event(
                        "store_returned",
                        "prefix",
                        mPrefix,
                        "era",
                        mReader.era().getAsLong(),
                        "revision_before",
                        call.afterRevision(),
                        "silent_ms",
                        mScheduler.timeSinceAnswer(mContext.clock().now()).toMillis());
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

    private void acceptAnswer(WatchScheduler.Call call, Duration pause) {
        long now = mContext.clock().now();
        int unansweredCalls = mScheduler.unansweredCalls();
        long silentMillis = mScheduler.timeSinceAnswer(now).toMillis();
        mScheduler.onAnswer(call.id(), pause, now);
        if (!mReachable) {
            mReachable = true;
            mReachableSince = now;
            mContext.log()
                    .event(
                            "store_regained",
                            "prefix",
                            mPrefix,
                            "revision",
                            mReader.revision(),
                            "silent_ms",
                            silentMillis,
                            "calls",
                            unansweredCalls);
        }
        mLossReported = false;
        scheduleCall();
    }

    private void onFailure(WatchScheduler.Call call, PrefixReader.Call read, Throwable cause) {
        long now = mContext.clock().now();
        if (cause instanceof StoreException e && e.isHistoryGone()) {
            restartRead(call, read, e.era());
            return;
        }
        if (!mScheduler.onFailure(call.id(), now)) {
            return;
        }
        mContext.metrics().countEvent("store_call_failed");
        onUnreachable(cause, now);
        scheduleCall();
    }

    private void restartRead(
            WatchScheduler.Call call, PrefixReader.Call read, OptionalLong answerEra) {
        if (!mScheduler.isOpen(call.id())) {
            return;
        }
        int returns = mReader.returnCount();
        mReader.onHistoryGone(read, answerEra);
        if (mReader.returnCount() > returns) {
            onReturned(read);
        }
        acceptAnswer(call, Duration.ZERO);
        mContext.log()
                .event("store_history_gone", "prefix", mPrefix, "revision", read.afterRevision());
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
