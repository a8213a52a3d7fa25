package org.fescuehollow.gateway.log;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one structured line for each decision, without ever blocking the caller.
 *
 * <p>A line is a time, an event's name and pairs of names and values. Lines beyond the rate or the
 * queue are dropped and counted; the count is written with the next line.
 *
 * <p>Safe for use by any thread.
 */
public final class EventLog {
    /** Lines that wait to be written. */
    private static final int QUEUE_CAPACITY_LINES = 2_000;

    /** Lines a second; about three for each request at the load of a small VM. */
    private static final int MAX_LINES_PER_SECOND = 150;

    /** Lines that may come at once after a quiet time. */
    private static final int MAX_BURST_LINES = 600;

    /** Lines are written together this often, as each write costs a system call. */
    private static final long FLUSH_INTERVAL_MILLIS = 100;

    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong mDropped = new AtomicLong();
    private final PrintStream mOut;
    private double mTokens = MAX_BURST_LINES;
    private long mLastRefillNanos = System.nanoTime();

    /**
     * Creates a log and starts its writer.
     *
     * @param out where lines go
     */
    public EventLog(OutputStream out) {
        mOut = new PrintStream(out, false, StandardCharsets.UTF_8);
        Thread writer = new Thread(this::writeLoop, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Writes a line if the rate allows it.
     *
     * @param event a fixed word
     * @param pairs names and values in turn
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
                String first = mQueue.take();
                TimeUnit.MILLISECONDS.sleep(FLUSH_INTERVAL_MILLIS);
                flush(first);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void flush(String first) {
        StringBuilder lines = new StringBuilder();
        for (String l = first; l != null; l = mQueue.poll()) {
            lines.append(l).append('\n');
        }
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            lines.append(Instant.now()).append(" event=lines_dropped count=").append(dropped);
            lines.append('\n');
        }
        mOut.print(lines);
        mOut.flush();
    }

    /** Writes what waits; for the end of the process. */
    public void flush() {
        String first = mQueue.poll();
        if (first != null) {
            flush(first);
        }
    }

    /**
     * Returns the number of lines dropped since the last one written.
     *
     * @return the count
     */
    public long droppedLines() {
        return mDropped.get();
    }
}
