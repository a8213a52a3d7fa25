package org.fescuehollow.gateway.store;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.fescuehollow.catalog.HistorySearch;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.hashing.Rendezvous;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreException;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.platform.StoreKeys;
import org.fescuehollow.platform.StorePage;

/**
 * Reads the changes of the engines' entries that the store still keeps, once after the start of the
 * process.
 *
 * <p>Nodes that start at once begin at different times, so that their calls don't meet. A call that
 * fails ends the search, as others wait for the store, too. Not thread-safe; used on the node's
 * event loop.
 */
final class HistoryReader {
    /** Short in comparison with the time that the store keeps changes. */
    private static final int MAX_DELAY_MILLIS = 200;

    private static final long TIMEOUT_MILLIS = 3_000;

    private final NodeContext mContext;
    private final StoreClient mStore;
    private final Consumer<Changes> mListener;

    /**
     * Changes of the entries.
     *
     * @param after the revision after which these are all changes
     * @param items the changes in order
     */
    record Changes(long after, List<StoreItem> items) {}

    /** One search and what it refers to. */
    private record Search(HistorySearch search, OptionalLong era, long startedNanos) {}

    HistoryReader(NodeContext context, StoreClient store, Consumer<Changes> listener) {
        mContext = context;
        mStore = store;
        mListener = listener;
    }

    /**
     * Starts to read.
     *
     * @param revision the store's revision
     * @param era the store's era; changes of another one are ignored
     * @param engines the number of engines
     */
    void start(long revision, OptionalLong era, int engines) {
        NodeSettings settings = mContext.settings();
        Duration history = Duration.ofMillis((long) (settings.storeHistorySeconds() * 1_000));
        Duration heartbeat = Duration.ofMillis(settings.heartbeatMillis());
        Search search =
                new Search(
                        new HistorySearch(revision, engines, history, heartbeat),
                        era,
                        mContext.clock().now());
        int delay = Math.floorMod(Rendezvous.hash(settings.node()), MAX_DELAY_MILLIS);
        mContext.vertx().setTimer(1 + delay, t -> sendCall(search));
    }

    private void sendCall(Search search) {
        Optional<HistorySearch.Call> next = search.search().next();
        if (next.isEmpty()) {
            log(search, "gone", 0, 0);
            return;
        }
        HistorySearch.Call call = next.get();
        String prefix = call.withChanges() ? StoreKeys.ENGINES : StoreKeys.NONE;
        Future<StorePage> answer = mStore.watch(prefix, call.after(), 0, TIMEOUT_MILLIS);
        answer.onSuccess(p -> onAnswer(search, call, p)).onFailure(e -> onFailure(search, e));
    }

    private void onAnswer(Search search, HistorySearch.Call call, StorePage page) {
        if (!page.era().equals(search.era())) {
            log(search, "store_returned", call.after(), 0);
            return;
        }
        search.search().onKept();
        if (!call.withChanges()) {
            sendCall(search);
            return;
        }
        log(search, "read", call.after(), page.items().size());
        mListener.accept(new Changes(call.after(), page.items()));
    }

    private void onFailure(Search search, Throwable cause) {
        if (cause instanceof StoreException e && e.isHistoryGone()) {
            search.search().onGone();
            sendCall(search);
            return;
        }
        mContext.metrics().countEvent("store_call_failed");
        log(search, cause.toString(), 0, 0);
    }

    private void log(Search search, String outcome, long after, int changes) {
        mContext.log()
                .event(
                        "store_history",
                        "outcome",
                        outcome,
                        "after",
                        after,
                        "changes",
                        changes,
                        "calls",
                        search.search().calls(),
                        "ms",
                        Duration.ofNanos(mContext.clock().now() - search.startedNanos())
                                .toMillis());
    }
}
