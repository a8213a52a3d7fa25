package org.fescuehollow.gateway.calls;

import io.vertx.core.http.HttpClientResponse;
import java.util.stream.Collectors;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.responses.BodyDefect;
import org.fescuehollow.responses.HeadDefect;

/** Log lines about the heads and plain bodies of responses. Stateless. */
final class ResponseHeadLog {
    private static final int MAX_TEXT_CHARS = 200;

    private ResponseHeadLog() {}

    static void logDefect(
            NodeContext node,
            HeadDefect defect,
            String requestId,
            boolean usedConnection,
            Engine engine,
            HttpClientResponse response) {
        node.metrics().countEvent("head_defect");
        node.log()
                .event(
                        "head_defect",
                        "id",
                        requestId,
                        "engine",
                        engine.id(),
                        "cause",
                        defect.text(),
                        "used",
                        usedConnection,
                        "status",
                        response.statusCode(),
                        "reason",
                        printable(String.valueOf(response.statusMessage())),
                        "fields",
                        printable(String.join(",", response.headers().names())));
    }

    static void logDefect(
            NodeContext node, ProxiedRequest request, Engine engine, BodyDefect defect) {
        node.metrics().countEvent("body_defect");
        node.log()
                .event(
                        "body_defect",
                        "id",
                        request.dispatchRequest().id(),
                        "engine",
                        engine.id(),
                        "cause",
                        defect.text());
    }

    /** Returns the start of a text without control characters, which a server may have sent. */
    private static String printable(String text) {
        return text.chars()
                .limit(MAX_TEXT_CHARS)
                .mapToObj(c -> c > ' ' && c < 0x7f ? String.valueOf((char) c) : "?")
                .collect(Collectors.joining());
    }
}
