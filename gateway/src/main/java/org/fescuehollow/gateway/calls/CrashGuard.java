package org.fescuehollow.gateway.calls;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.gateway.exchange.SuspicionExchange;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.suspects.CrashTraits;

/**
 * Reports what became of requests at engines to {@link CrashTraits}, here and on the other nodes.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
final class CrashGuard {
    private final NodeContext mNode;
    private final CatalogService mCatalog;
    private final CrashTraits mTraits;
    private final SuspicionExchange mExchange;

    CrashGuard(
            NodeContext node,
            CatalogService catalog,
            CrashTraits traits,
            SuspicionExchange exchange) {
        mCatalog = catalog;
        mNode = node;
        mTraits = traits;
        mExchange = exchange;
    }

    /** Returns a trait for which requests are blocked, if any of the given ones is. */
    Optional<Long> findBlocked(Supplier<Set<Long>> traits) {
        return mTraits.isEmpty()
                ? Optional.empty()
                : mTraits.findBlocked(traits.get(), mNode.clock().now());
    }

    /**
     * Records that an engine closed the connection of a request that it had not begun to answer.
     */
    void onBroken(Engine engine, Set<Long> traits) {
        boolean leaving =
                mCatalog.engine(engine.id())
                        .filter(e -> e.isSameIncarnation(engine) && !e.draining())
                        .isEmpty();
        // An engine that leaves may end with requests open.
        if (!leaving) {
            long crash = CrashTraits.crashOf(engine);
            mExchange.onFound(mTraits.onCrash(traits, crash, mNode.clock().now()));
        }
    }

    /** Records that an engine has begun to answer a request. */
    void onAnswered(Engine engine, Supplier<Set<Long>> traits, long sentNanos) {
        if (!mTraits.isEmpty()) {
            long crash = CrashTraits.crashOf(engine);
            long now = mNode.clock().now();
            mExchange.onFound(mTraits.onAnswered(traits.get(), crash, sentNanos, now));
        }
    }
}
