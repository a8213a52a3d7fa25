package org.fescuehollow.gateway.calls;

import java.util.Optional;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.versions.VersionRegistry;

/**
 * What this node knows of the software versions at which streams may run.
 *
 * <p>Not thread-safe; used on the node's event loop.
 */
final class StreamVersions {
    private final NodeContext mNode;
    private final VersionRegistry mVersions;

    StreamVersions(NodeContext node, VersionRegistry versions) {
        mNode = node;
        mVersions = versions;
    }

    /** Returns the version at which a new stream begins; empty if that isn't settled yet. */
    Optional<String> pick(DispatchRequest request) {
        return mVersions.pick(request.service(), model(request), request.id(), now());
    }

    private static String model(DispatchRequest request) {
        return request.adapter().model();
    }

    private long now() {
        return mNode.clock().now();
    }
}
