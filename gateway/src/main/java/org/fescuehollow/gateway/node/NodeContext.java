package org.fescuehollow.gateway.node;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.gateway.metrics.GatewayMetrics;

/**
 * What every part of the node uses.
 *
 * <p>All decisions are taken on the one event loop of the Vert.x instance.
 *
 * @param vertx the Vert.x instance, with one event loop
 * @param unpooledClient the HTTP client for requests that may run only once, and for calls that
 *     must not wait on a kept connection that has fallen silent; it opens a connection for each
 * @param pooledClient the HTTP client for requests that may be repeated; it keeps connections
 * @param controlClient the HTTP client for calls of this system's own, which may be repeated; it
 *     keeps connections
 * @param clock the clock
 * @param settings the settings
 * @param log the log
 * @param metrics the metrics
 */
public record NodeContext(
        Vertx vertx,
        HttpClient unpooledClient,
        HttpClient pooledClient,
        HttpClient controlClient,
        NodeClock clock,
        NodeSettings settings,
        EventLog log,
        GatewayMetrics metrics) {}
