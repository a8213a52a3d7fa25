package org.fescuehollow.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures processor time and heap of an action. Used from one thread. */
final class Meter {
    private static final int SETTLES = 3;

    private Meter() {}

    /** Returns the thread's processor time that an action takes, in nanoseconds. */
    static double cpuNanos(Runnable action) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadCpuTime();
        action.run();
        return threads.getCurrentThreadCpuTime() - before;
    }

    /** Returns the heap that an action's result holds, in bytes. */
    static double heapBytes(Supplier<Object> action) {
        long before = usedHeap();
        Object kept = action.get();
        long after = usedHeap();
        Reference.reachabilityFence(kept);
        return after - before;
    }

    private static long usedHeap() {
        for (int i = 0; i < SETTLES; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
