package org.fescuehollow.gateway.calls;

import java.time.Duration;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.platform.RequestHead;

/** Creates dispatch requests from the heads of clients' requests. Stateless. */
final class DispatchRequests {
    private DispatchRequests() {}

    static DispatchRequest of(
            RequestContext context, Route route, RequestHead head, double draw, long now) {
        long millis = Math.min(route.timeoutMillis(), head.timeoutMillis().orElse(Long.MAX_VALUE));
        AdapterKey adapter = head.adapter();
        return new DispatchRequest(
                head.attemptId(),
                route.pickService(draw),
                adapter,
                context.catalog().adapterVersion(adapter),
                head.promptTokens(),
                head.expectedOutputTokens(),
                head.promptParts(),
                route.rank(),
                now,
                now + Duration.ofMillis(route.objectiveMillis()).toNanos(),
                now + Duration.ofMillis(millis).toNanos(),
                false);
    }
}
