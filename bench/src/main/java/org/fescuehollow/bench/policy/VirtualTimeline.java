package org.fescuehollow.bench.policy;

import java.util.PriorityQueue;

/**
 * Scheduler in virtual time; actions of the same time run in the order they were added.
 *
 * <p>Not safe for concurrent use.
 */
final class VirtualTimeline {
    private final PriorityQueue<Entry> mEntries = new PriorityQueue<>();
    private long mNowNanos;
    private long mSequence;

    /** An action and its virtual time in nanoseconds. */
    private record Entry(long timeNanos, long sequence, Runnable action)
            implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(timeNanos, other.timeNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    void scheduleAt(long time, Runnable action) {
        mEntries.add(new Entry(Math.max(time, mNowNanos), mSequence++, action));
    }

    void scheduleAfter(long nanos, Runnable action) {
        scheduleAt(mNowNanos + nanos, action);
    }

    long nowNanos() {
        return mNowNanos;
    }

    void runUntil(long end) {
        while (!mEntries.isEmpty() && mEntries.peek().timeNanos() <= end) {
            Entry e = mEntries.poll();
            mNowNanos = e.timeNanos();
            e.action().run();
        }
        mNowNanos = end;
    }
}
