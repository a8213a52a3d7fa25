package org.fescuehollow.bench.policy;

import java.util.PriorityQueue;

/** Actions in virtual time; those of the same time run in the order added. Not thread-safe. */
final class Timeline {
    private final PriorityQueue<Entry> mEntries = new PriorityQueue<>();
    private long mNow;
    private long mSequence;

    /** An action and its time. */
    private record Entry(long time, long sequence, Runnable action) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    void at(long time, Runnable action) {
        mEntries.add(new Entry(Math.max(time, mNow), mSequence++, action));
    }

    void after(long nanos, Runnable action) {
        at(mNow + nanos, action);
    }

    long now() {
        return mNow;
    }

    void runUntil(long end) {
        while (!mEntries.isEmpty() && mEntries.peek().time() <= end) {
            Entry e = mEntries.poll();
            mNow = e.time();
            e.action().run();
        }
        mNow = end;
    }
}
