package org.fescuehollow.server.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An IP number and port to listen on.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param host the IP number
 * @param port the port; zero lets the system choose one
 */
public record ListenAddress(String host, int port) {
    static ListenAddress from(JsonNode tree) {
        return new ListenAddress(tree.path("host").asText("127.0.0.1"), tree.path("port").asInt());
    }
}
