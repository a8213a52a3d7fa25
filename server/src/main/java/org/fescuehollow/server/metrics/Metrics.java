package org.fescuehollow.server.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.model.Priority;

/**
 * The counters and histograms of one process.
 *
 * <p>Invariant: labels are teams, services, codes and priorities, never adapters or requests. Safe
 * for use by any thread.
 */
public final class Metrics {
    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            Counter.builder()
                    .name("fescuehollow_requests_total")
                    .help("Requests answered, by team, service and outcome code")
                    .labelNames("team", "service", "code")
                    .register(mRegistry);
    private final Histogram mAdapterWait =
            Histogram.builder()
                    .name("fescuehollow_adapter_wait_seconds")
                    .help("Time from a request's arrival at the coordinator to its start")
                    .labelNames("service", "priority", "stalled")
                    .classicUpperBounds(.001, .005, .02, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60)
                    .register(mRegistry);
    private final Counter mLoads =
            Counter.builder()
                    .name("fescuehollow_adapter_loads_total")
                    .help("Adapter loads ended, by service and result")
                    .labelNames("service", "result")
                    .register(mRegistry);
    private final Counter mRetries =
            Counter.builder()
                    .name("fescuehollow_retries_total")
                    .help("Attempts after the first, by service and cause")
                    .labelNames("service", "cause")
                    .register(mRegistry);
    private final Counter mEvents =
            Counter.builder()
                    .name("fescuehollow_events_total")
                    .help("Changes of state of this process, by kind")
                    .labelNames("kind")
                    .register(mRegistry);
    private final Counter mControlBytes =
            Counter.builder()
                    .name("fescuehollow_control_bytes_total")
                    .help("Payload of control messages sent to other nodes")
                    .register(mRegistry);
    private final Counter mControlMessages =
            Counter.builder()
                    .name("fescuehollow_control_messages_total")
                    .help("Control messages sent to other nodes")
                    .register(mRegistry);
    private final Gauge mGauges =
            Gauge.builder()
                    .name("fescuehollow_state")
                    .help("Figures of this process's state, by name")
                    .labelNames("name")
                    .register(mRegistry);

    /**
     * Counts an answered request.
     *
     * @param team the team; empty if unknown
     * @param service the service; empty if unknown
     * @param code {@code ok} or an error code
     */
    public void request(String team, String service, String code) {
        mRequests.labelValues(team, service, code).inc();
    }

    /**
     * Records how long a request waited for its start.
     *
     * @param service the service
     * @param priority the team's priority
     * @param stalled true if it waited for an adapter's load
     * @param nanos the time in nanoseconds
     */
    public void started(String service, Priority priority, boolean stalled, long nanos) {
        mAdapterWait
                .labelValues(service, priority.name().toLowerCase(Locale.ROOT), "" + stalled)
                .observe(nanos / 1e9);
    }

    /**
     * Counts a load's end.
     *
     * @param service the service
     * @param ok true if the adapter is resident
     */
    public void load(String service, boolean ok) {
        mLoads.labelValues(service, ok ? "ok" : "failed").inc();
    }

    /**
     * Counts a retry.
     *
     * @param service the service
     * @param cause the error code of the attempt before
     */
    public void retry(String service, ErrorCode cause) {
        mRetries.labelValues(service, cause.wireName()).inc();
    }

    /**
     * Counts a change of state.
     *
     * @param kind a fixed word
     */
    public void event(String kind) {
        mEvents.labelValues(kind).inc();
    }

    /**
     * Sets a figure.
     *
     * @param name a fixed word
     * @param value the figure
     */
    public void set(String name, double value) {
        mGauges.labelValues(name).set(value);
    }

    /**
     * Counts control traffic to other nodes.
     *
     * @param bytes the payload sent
     */
    public void sentControl(int bytes) {
        mControlBytes.inc(bytes);
        mControlMessages.inc();
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text
     */
    public String text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
