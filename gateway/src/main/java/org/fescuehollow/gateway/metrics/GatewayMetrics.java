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
 * The Prometheus metrics of an entry node.
 *
 * <p>Invariant: label values are service names and constants, never requests or adapters, so that
 * the number of time series stays small. Thread-safe.
 */
public final class GatewayMetrics {
    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            registerCounter(
                    "fescuehollow_gateway_requests", "Completed requests", "service", "outcome");
    private final Counter mAttempts =
            registerCounter(
                    "fescuehollow_gateway_attempts", "Completed attempts", "service", "outcome");
    private final Counter mOrders =
            registerCounter(
                    "fescuehollow_gateway_orders",
                    "Load and unload orders to engines",
                    "action",
                    "reply");
    private final Counter mEvents =
            registerCounter(
                    "fescuehollow_gateway_events", "Events and state changes of the node", "kind");
    private final Gauge mState =
            Gauge.builder()
                    .name("fescuehollow_gateway_state")
                    .help("Current values of the node's state")
                    .labelNames("name")
                    .register(mRegistry);
    private final Histogram mFirstByte =
            Histogram.builder()
                    .name("fescuehollow_gateway_first_byte_seconds")
                    .help("Time from the arrival of a request to the first byte of its response")
                    .labelNames("service")
                    .classicOnly()
                    .classicUpperBounds(.01, .03, .1, .2, .4, .8, 1, 2, 5, 10)
                    .register(mRegistry);

    private Counter registerCounter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    /**
     * Counts a completed request.
     *
     * @param service the service of the request
     * @param outcome the outcome, a constant
     */
    public void countRequest(String service, String outcome) {
        mRequests.labelValues(service, outcome).inc();
    }

    /**
     * Counts a completed attempt.
     *
     * @param service the service of the request
     * @param outcome the outcome, a constant
     */
    public void countAttempt(String service, String outcome) {
        mAttempts.labelValues(service, outcome).inc();
    }

    /**
     * Counts an order to an engine.
     *
     * @param action the action of the order
     * @param reply the reply of the engine
     */
    public void countOrder(String action, String reply) {
        mOrders.labelValues(action, reply).inc();
    }

    /**
     * Counts an event.
     *
     * @param kind the kind of event, a constant
     */
    public void countEvent(String kind) {
        mEvents.labelValues(kind).inc();
    }

    /**
     * Sets a gauge of the node's state.
     *
     * @param name the name of the gauge, a constant
     * @param value the value
     */
    public void setState(String name, double value) {
        mState.labelValues(name).set(value);
    }

    /**
     * Records the time to the first byte of a response.
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
