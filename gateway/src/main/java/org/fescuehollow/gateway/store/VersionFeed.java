package org.fescuehollow.gateway.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.platform.EngineCodec;
import org.fescuehollow.platform.StoreClient;
import org.fescuehollow.platform.StoreItem;
import org.fescuehollow.versions.VersionRegistry;
import org.fescuehollow.versions.VersionReplay;

/**
 * Passes the engines' entries to the registry of software versions, after the first listing also
 * those of the time before.
 *
 * <p>Invariant: the history is passed only if nothing was listed again since it was asked for. Not
 * thread-safe; used on the node's event loop.
 */
final class VersionFeed {
    /** Before the store's first change, there was no engine at which a stream could begin. */
    private static final Duration SINCE_THE_FIRST_CHANGE = Duration.ofMinutes(1);

    /** The store drops old changes late, and clocks differ. */
    private static final double HISTORY_MARGIN = 1.25;

    private final NodeContext mContext;
    private final VersionRegistry mRegistry;
    private final HistoryReader mHistory;
    private List<VersionReplay.Entry> mListed = List.of();
    private int mListings;

    VersionFeed(NodeContext context, StoreClient store, VersionRegistry registry) {
        mContext = context;
        mRegistry = registry;
        mHistory = new HistoryReader(context, store, this::onHistory);
    }

    /**
     * Handles a complete listing.
     *
     * @param entries the entries
     * @param revision the revision from which changes are passed
     * @param era the store's era
     */
    void onListed(List<EngineEntry> entries, long revision, OptionalLong era, long now) {
        List<Engine> engines = entries.stream().flatMap(e -> e.engine().stream()).toList();
        mRegistry.onListed(engines, now);
        if (++mListings == 1) {
            mListed = entries.stream().map(VersionFeed::entry).toList();
            mHistory.start(revision, era, engines.size());
        }
    }

    private static VersionReplay.Entry entry(EngineEntry entry) {
        return new VersionReplay.Entry(entry.id(), entry.item().created(), entry.engine());
    }

    /** Handles a change of an entry. */
    void onChanged(EngineEntry entry, long now) {
        entry.engine()
                .ifPresentOrElse(
                        e -> mRegistry.onEntry(e, now), () -> mRegistry.onRemoved(entry.id(), now));
    }

    /** Handles that all changes until a time have been passed. */
    void onRead(long nanos) {
        mRegistry.onStoreRead(nanos);
    }

    private void onHistory(HistoryReader.Changes changes) {
        if (mListings > 1) {
            mContext.log().event("store_history_outdated", "after", changes.after());
            return;
        }
        Duration heartbeat = Duration.ofMillis(mContext.settings().heartbeatMillis());
        List<VersionReplay.Event> events =
                changes.items().stream().map(VersionFeed::event).toList();
        VersionReplay.Result replay =
                VersionReplay.replay(mListed, events, changes.after(), heartbeat, times());
        if (changes.after() == 0) {
            replay = new VersionReplay.Result(SINCE_THE_FIRST_CHANGE, replay.shares());
        }
        mListed = List.of();
        mRegistry.seed(replay, mContext.clock().now());
        mContext.log()
                .event(
                        "versions_known",
                        "covered_ms",
                        replay.covered().toMillis(),
                        "histories",
                        replay.shares().size());
    }

    private VersionReplay.Times times() {
        long now = System.currentTimeMillis();
        double seconds = mContext.settings().storeHistorySeconds() * HISTORY_MARGIN;
        return new VersionReplay.Times(now, now - (long) (seconds * 1_000));
    }

    private static VersionReplay.Event event(StoreItem item) {
        EngineEntry entry = new EngineEntry(item, engine(item));
        return new VersionReplay.Event(entry.id(), item.created(), entry.engine(), item.removed());
    }

    private static Optional<Engine> engine(StoreItem item) {
        String id = new EngineEntry(item, Optional.empty()).id();
        try {
            return item.value().map(v -> EngineCodec.decodeEntry(id, v));
        } catch (RuntimeException | StackOverflowError e) {
            System.getLogger(VersionFeed.class.getName())
                    .log(System.Logger.Level.DEBUG, "old entry names no engine", e);
            return Optional.empty();
        }
    }
}
