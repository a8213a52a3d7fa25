package org.fescuehollow.server.call;

/**
 * The first part of an answer.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param status the HTTP status
 * @param contentType the body's content type; empty if there is none
 * @param server the backend server that answers
 * @param stalled true if the request waited for its adapter to load
 * @param waitedMicros how long the request waited for its start, in microseconds
 */
public record AnswerHead(
        int status, String contentType, String server, boolean stalled, long waitedMicros) {}
