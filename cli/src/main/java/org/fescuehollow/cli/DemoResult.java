package org.fescuehollow.cli;

/**
 * What became of one request of the demo.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param target the adapter or service
 * @param server the backend server that answered
 * @param loaded whether the adapter had to be loaded
 * @param waitedMicros how long the request waited for its start, in microseconds
 * @param ok true if the answer was right
 */
record DemoResult(String target, String server, String loaded, long waitedMicros, boolean ok) {}
