package org.fescuehollow.gateway.log;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes structured log lines, one for each event, without blocking the caller.
 *
 * <p>A line consists of a timestamp, an event name and name-value pairs. Lines that exceed the rate
 * limit or the queue are dropped and counted; the count is logged after the next batch of lines.
 *
 * <p>Thread-safe.
 */
public final class EventLog {
    /** Lines that can wait to be written. */
    private static final int QUEUE_CAPACITY_LINES = 2_000;

    /** About three lines per request at the load of a small VM. */
    private static final int MAX_LINES_PER_SECOND = 150;

    /** Lines that can be logged in a burst after a time with little logging. */
    private static final int MAX_BURST_LINES = 600;

    /** Lines are written in batches, as each write costs a system call. */
    private static final long FLUSH_INTERVAL_MILLIS = 100;

    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong mDropped = new AtomicLong();
    private final PrintStream mOut;

    /** The first line of the next batch, which the writer has taken from the queue. */
    private Optional<String> mHeld = Optional.empty();

    private double mTokens = MAX_BURST_LINES;
    private long mLastRefillNanos = System.nanoTime();

    /**
     * Creates a log and starts its writer thread.
     *
     * @param out the stream to write to
     */
    public EventLog(OutputStream out) {
        mOut = new PrintStream(out, false, StandardCharsets.UTF_8);
        Thread writer = new Thread(this::writeLoop, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs an event if the rate limit allows it.
     *
     * @param event the event name, a constant
     * @param pairs alternating names and values
     */
    public void event(String event, Object... pairs) {
        if (!takeToken()) {
            mDropped.incrementAndGet();
            return;
        }
        StringBuilder line = new StringBuilder(160);
        line.append(Instant.now()).append(" event=").append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quoteIfNeeded(pairs[i + 1]));
        }
        if (!mQueue.offer(line.toString())) {
            mDropped.incrementAndGet();
        }
    }

    private synchronized boolean takeToken() {
        long now = System.nanoTime();
        mTokens =
                Math.min(
                        MAX_BURST_LINES,
                        mTokens + (now - mLastRefillNanos) / 1e9 * MAX_LINES_PER_SECOND);
        mLastRefillNanos = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }

    private static String quoteIfNeeded(Object value) {
        String text = String.valueOf(value);
        return text.indexOf(' ') < 0 && text.indexOf('\n') < 0 && !text.isEmpty()
                ? text
                : '"' + text.replace("\n", "\\n").replace("\"", "'") + '"';
    }

    private void writeLoop() {
        try {
            while (true) {
                hold(mQueue.take());
                TimeUnit.MILLISECONDS.sleep(FLUSH_INTERVAL_MILLIS);
                flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void hold(String line) {
        mHeld = Optional.of(line);
    }

    /** Writes all lines that were logged and not written; used when the process ends. */
    public synchronized void flush() {
        StringBuilder lines = new StringBuilder();
        mHeld.ifPresent(l -> lines.append(l).append('\n'));
        mHeld = Optional.empty();
        for (String line = mQueue.poll(); line != null; line = mQueue.poll()) {
            lines.append(line).append('\n');
        }
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            lines.append(Instant.now()).append(" event=lines_dropped count=").append(dropped);
            lines.append('\n');
        }
        mOut.print(lines);
        mOut.flush();
    }

    /**
     * Returns the number of lines dropped since the last write.
     *
     * @return the number of lines
     */
    public long droppedLines() {
        return mDropped.get();
    }
}
