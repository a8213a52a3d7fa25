package org.fescuehollow.gateway.calls;

import io.vertx.core.http.HttpClientResponse;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.streams.BodyFraming;

/** Log lines about the events of streams. Stateless. */
final class EventStreamLog {
    private EventStreamLog() {}

    static void logEventWithoutId(
            NodeContext node, ProxiedRequest request, Engine engine, HttpClientResponse response) {
        node.metrics().countEvent("event_without_id");
        node.log()
                .event(
                        "event_without_id",
                        "id",
                        request.dispatchRequest().id(),
                        "engine",
                        engine.id(),
                        "framing",
                        framing(response),
                        "after",
                        request.eventSplitter().lastEventId());
    }

    private static BodyFraming framing(HttpClientResponse response) {
        return BodyFraming.of(
                header(response, "Transfer-Encoding"), header(response, "Content-Length"));
    }

    private static String header(HttpClientResponse response, String name) {
        String value = response.getHeader(name);
        return value == null ? "" : value;
    }
}
