package org.fescuehollow.gateway.node;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.fescuehollow.gateway.log.EventLog;
import org.fescuehollow.gateway.metrics.GatewayMetrics;

/**
 * The objects that all services of a node share.
 *
 * <p>Immutable. All decisions are made on the single event loop of the Vert.x instance.
 *
 * @param vertx the Vert.x instance, with one event loop
 * @param unpooledClient the HTTP client that opens a connection for each request; for requests that
 *     may run only once, and for calls that must not wait on a pooled connection that has become
 *     silent
 * @param pooledClient the HTTP client with keep-alive connections, for idempotent requests
 * @param controlClient the HTTP client with keep-alive connections for internal calls, all of which
 *     may be repeated
 * @param clock the clock
 * @param settings the settings
 * @param log the event log
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
