package org.fescuehollow.server.coordination;

import org.fescuehollow.server.backend.BackendClient;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.suspects.SuspectsService;

/**
 * What all posts of a node share.
 *
 * <p>Immutable; its parts are used on the node's loop.
 *
 * @param client speaks to backend servers
 * @param loop the node's loop
 * @param metrics the process's metrics
 * @param suspects knows crashing requests
 * @param quietNanos time from taking over an engine to the first eviction on it
 */
record PostContext(
        BackendClient client,
        NodeLoop loop,
        Metrics metrics,
        SuspectsService suspects,
        long quietNanos) {}
