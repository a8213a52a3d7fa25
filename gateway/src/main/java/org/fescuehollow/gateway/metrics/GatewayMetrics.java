package org.fescuehollow.gateway.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * The counters and histograms of an entry node.
 *
 * <p>Invariant: labels are services, route names and fixed words, never requests or adapters. Safe
 * for use by any thread.
 */
public final class GatewayMetrics {
    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            registerCounter(
                    "fescuehollow_gateway_requests", "Requests ended", "service", "outcome");
    private final Counter mAttempts =
            registerCounter(
                    "fescuehollow_gateway_attempts", "Attempts ended", "service", "outcome");
    private final Counter mOrders =
            registerCounter("fescuehollow_gateway_orders", "Orders to engines", "action", "reply");
    private final Counter mEvents =
            registerCounter("fescuehollow_gateway_events", "Changes of belief", "kind");
    private final Gauge mState =
            Gauge.builder()
                    .name("fescuehollow_gateway_state")
                    .help("Figures of the node's state")
                    .labelNames("name")
                    .register(mRegistry);
    private final Histogram mFirstByte =
            Histogram.builder()
                    .name("fescuehollow_gateway_first_byte_seconds")
                    .help("Time from a request's arrival to the first byte of its answer")
                    .labelNames("service")
                    .classicOnly()
                    .classicUpperBounds(.01, .03, .1, .2, .4, .8, 1, 2, 5, 10)
                    .register(mRegistry);

    private Counter registerCounter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    /**
     * Counts a request that ended.
     *
     * @param service its service
     * @param outcome a fixed word
     */
    public void countRequest(String service, String outcome) {
        mRequests.labelValues(service, outcome).inc();
    }

    /**
     * Counts an attempt that ended.
     *
     * @param service its service
     * @param outcome a fixed word
     */
    public void countAttempt(String service, String outcome) {
        mAttempts.labelValues(service, outcome).inc();
    }

    /**
     * Counts an order.
     *
     * @param action what was ordered
     * @param reply what the engine answered
     */
    public void countOrder(String action, String reply) {
        mOrders.labelValues(action, reply).inc();
    }

    /**
     * Counts a change of belief.
     *
     * @param kind a fixed word
     */
    public void countEvent(String kind) {
        mEvents.labelValues(kind).inc();
    }

    /**
     * Sets a figure of the state.
     *
     * @param name a fixed word
     * @param value the figure
     */
    public void setState(String name, double value) {
        mState.labelValues(name).set(value);
    }

    /**
     * Records the time to the first byte of an answer.
     *
     * @param service the service
     * @param nanos the time in nanoseconds
     */
    public void recordFirstByte(String service, long nanos) {
        mFirstByte.labelValues(service).observe(nanos / 1e9);
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text
     */
    public String prometheusText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
