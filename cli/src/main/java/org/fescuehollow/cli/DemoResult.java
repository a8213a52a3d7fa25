package org.fescuehollow.cli;

/**
 * What became of one request of the demo.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param target the adapter or service
 * @param server the backend server that answered
 * @param adapterStatus whether the adapter had to be loaded
 * @param waitMicros how long the request waited for its start, in microseconds
 * @param isCorrect true if the answer was right
 */
record DemoResult(
        String target, String server, String adapterStatus, long waitMicros, boolean isCorrect) {}
