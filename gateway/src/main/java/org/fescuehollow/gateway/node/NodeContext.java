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
 * @param client the HTTP client; it opens a connection for each request
 * @param clock the clock
 * @param settings the settings
 * @param log the log
 * @param metrics the metrics
 */
public record NodeContext(
        Vertx vertx,
        HttpClient client,
        NodeClock clock,
        NodeSettings settings,
        EventLog log,
        GatewayMetrics metrics) {}
