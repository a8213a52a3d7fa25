package org.fescuehollow.gateway.calls;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.dispatch.DispatchRequest;
import org.fescuehollow.platform.RequestHead;
import org.fescuehollow.suspects.RequestTraits;

/** Derives from clients' requests what decisions depend on. Stateless. */
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
                false,
                Optional.empty());
    }

    static Set<Long> traits(HttpServerRequest client, DispatchRequest request, Buffer body) {
        String target = client.getHeader("Host") + client.uri();
        return RequestTraits.of(target, request.promptSegments(), body.getBytes());
    }
}
