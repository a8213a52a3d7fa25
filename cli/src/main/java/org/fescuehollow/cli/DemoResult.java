package org.fescuehollow.cli;

/**
 * The result of one demo request.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param target the adapter or service
 * @param server the backend server that responded
 * @param adapterStatus {@code loaded} if the request waited for a load, {@code resident} if not,
 *     {@code refused} if a rejection was expected
 * @param waitMicros time from arrival to start, in microseconds
 * @param isCorrect true if the response was the expected one
 */
record DemoResult(
        String target, String server, String adapterStatus, long waitMicros, boolean isCorrect) {}
