package org.fescuehollow.gateway.calls;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.Optional;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.gateway.exchange.OriginLookup;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.versions.StreamOrigins;
import org.fescuehollow.versions.VersionRegistry;

/**
 * What this node knows of the software versions at which streams may run, by itself and by asking
 * others.
 *
 * <p>Invariant: a version is given for a stream only if no other one can have sent its first event.
 * Not thread-safe; used on the node's event loop.
 */
final class StreamVersions {
    private final NodeContext mNode;
    private final VersionRegistry mVersions;
    private final StreamOrigins mOrigins;
    private final OriginLookup mLookup;
    private boolean mWasStale;

    StreamVersions(
            NodeContext node,
            VersionRegistry versions,
            StreamOrigins origins,
            OriginLookup lookup) {
        mNode = node;
        mVersions = versions;
        mOrigins = origins;
        mLookup = lookup;
    }

    /** Returns the version at which a new stream begins; empty if that isn't settled yet. */
    Optional<String> pick(DispatchRequest request) {
        return mVersions.pick(request.service(), model(request), request.id(), now());
    }

    /**
     * Returns the version of a stream that is resumed, if this node knows it.
     *
     * @param origin the id of the client attempt that began it; empty if the client named none
     */
    Optional<String> find(String origin, DispatchRequest request, Duration life) {
        if (origin.isEmpty()) {
            return mVersions.single(request.service(), model(request), life, now());
        }
        if (mOrigins.isDisputed(origin, now())) {
            return Optional.empty();
        }
        return mOrigins.find(origin, now())
                .or(() -> mVersions.derive(request.service(), model(request), origin, life, now()));
    }

    /** Asks other nodes for the version of a stream; completes soon and never fails. */
    Future<Optional<String>> ask(String origin) {
        return origin.isEmpty() ? Future.succeededFuture(Optional.empty()) : mLookup.find(origin);
    }

    /** Records the version of a stream that this node relays, for its own use. */
    void record(String origin, String version) {
        mOrigins.add(origin, version, now());
    }

    /** Tells other nodes the version of a stream. */
    void tell(String origin, String version) {
        mLookup.record(origin, version);
    }

    /** Returns whether other nodes may be unable to work out the version of a stream. */
    boolean isAmbiguous(String origin, DispatchRequest request, Duration life) {
        return mVersions.isAmbiguous(request.service(), model(request), origin, life, now());
    }

    /** Returns whether this node has just lost touch with the store. */
    boolean hasBecomeStale() {
        boolean wasStale = mWasStale;
        mWasStale = mVersions.isStale(now());
        return mWasStale && !wasStale;
    }

    void logRefusal(String id, String origin, GatewayError error) {
        mNode.metrics().countEvent("take_up_refused_" + error.code());
        mNode.log().event("take_up_refused", "id", id, "resumes", origin, "cause", error.code());
    }

    private static String model(DispatchRequest request) {
        return request.adapter().model();
    }

    private long now() {
        return mNode.clock().now();
    }
}
