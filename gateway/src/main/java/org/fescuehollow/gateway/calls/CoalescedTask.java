package org.fescuehollow.gateway.calls;

import java.util.function.Consumer;

/**
 * A task that runs once for all triggers within a turn of the event loop.
 *
 * <p>Load pattern: under overload, many requests start and end within a moment, and each change may
 * free room for all requests that wait. Not thread-safe; used on the node's event loop.
 */
final class CoalescedTask {
    private final Consumer<Runnable> mScheduler;
    private final Runnable mTask;
    private boolean mScheduled;

    /**
     * Creates a task.
     *
     * @param scheduler runs an action after the current one
     * @param task the task
     */
    CoalescedTask(Consumer<Runnable> scheduler, Runnable task) {
        mScheduler = scheduler;
        mTask = task;
    }

    /** Runs the task soon, unless it is already going to. */
    void trigger() {
        if (!mScheduled) {
            mScheduled = true;
            mScheduler.accept(this::run);
        }
    }

    private void run() {
        mScheduled = false;
        mTask.run();
    }
}
