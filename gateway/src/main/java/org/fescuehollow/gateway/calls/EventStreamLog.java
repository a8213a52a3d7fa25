package org.fescuehollow.gateway.calls;

import io.vertx.core.http.HttpClientResponse;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.platform.ResponseHead;
import org.fescuehollow.streams.EventDefect;

/** Log lines about the events of streams. Stateless. */
final class EventStreamLog {
    private EventStreamLog() {}

    static void logDefect(
            NodeContext node,
            ProxiedRequest request,
            Engine engine,
            HttpClientResponse response,
            EventDefect defect) {
        node.metrics().countEvent("event_rejected");
        node.log()
                .event(
                        "event_rejected",
                        "id",
                        request.dispatchRequest().id(),
                        "engine",
                        engine.id(),
                        "cause",
                        defect.text(),
                        "framing",
                        ResponseHead.framing(response.headers()),
                        "after",
                        request.events().lastEventId());
    }
}
