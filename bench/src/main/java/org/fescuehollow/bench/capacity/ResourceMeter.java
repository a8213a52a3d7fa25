package org.fescuehollow.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures the processor time and heap use of an action. Stateless; use it from one thread. */
final class ResourceMeter {
    private static final int GC_RUNS = 3;

    private ResourceMeter() {}

    /** Returns the processor time of the current thread during an action, in nanoseconds. */
    static double cpuNanos(Runnable action) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadCpuTime();
        action.run();
        return threads.getCurrentThreadCpuTime() - before;
    }

    /** Returns the heap that the result of an action retains, in bytes. */
    static double heapBytes(Supplier<Object> action) {
        long before = usedHeap();
        Object retained = action.get();
        long after = usedHeap();
        Reference.reachabilityFence(retained);
        return after - before;
    }

    private static long usedHeap() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
