package org.fescuehollow.server.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Bounds of sizes and times in one process.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param bodyBytes the largest request body
 * @param answerBytes the largest answer that isn't streamed
 * @param headerBytes the largest sum of a request's headers
 * @param connectMillis time to connect to a backend server or node
 * @param idleMillis longest silence of a backend server while it answers
 * @param loadMillis longest time of one adapter load
 * @param leaveMillis time from the begin of a planned stop to the first refusal, in which the
 *     balancer notices that the node isn't ready
 * @param drainMillis longest time that a planned stop waits for requests
 * @param quietMillis time from taking over an engine to the first eviction on it
 * @param ledgerEntries idempotency records kept
 * @param probeMillis time between two probes of other nodes
 */
public record Limits(
        int bodyBytes,
        int answerBytes,
        int headerBytes,
        int connectMillis,
        int idleMillis,
        int loadMillis,
        int leaveMillis,
        int drainMillis,
        int quietMillis,
        int ledgerEntries,
        int probeMillis) {
    static Limits from(JsonNode tree) {
        return new Limits(
                tree.path("body_bytes").asInt(1 << 20),
                tree.path("answer_bytes").asInt(16 << 20),
                tree.path("header_bytes").asInt(16 << 10),
                tree.path("connect_ms").asInt(1_000),
                tree.path("idle_ms").asInt(120_000),
                tree.path("load_ms").asInt(30_000),
                tree.path("leave_ms").asInt(5_000),
                tree.path("drain_ms").asInt(120_000),
                tree.path("quiet_ms").asInt(5_000),
                tree.path("ledger_entries").asInt(100_000),
                tree.path("probe_ms").asInt(1_000));
    }
}
