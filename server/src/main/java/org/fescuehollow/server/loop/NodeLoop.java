package org.fescuehollow.server.loop;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.membership.PauseDetector;

/**
 * The one event loop on which all decisions of a node are taken.
 *
 * <p>Invariant: code that touches decision state runs on this loop and nowhere else, so none of it
 * needs locks. The methods here are safe for any thread.
 */
public final class NodeLoop {
    /** The longest time without an event that is no pause of the process. */
    public static final Duration PAUSE = Duration.ofSeconds(2);

    private final Vertx mVertx;
    private final Context mContext;
    private final PauseDetector mGuard = new PauseDetector(PAUSE.toNanos());

    /**
     * Creates a loop.
     *
     * @param vertx the Vert.x instance that runs it
     */
    public NodeLoop(Vertx vertx) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
    }

    /**
     * Returns the monotonic time. On the loop, a pause of the process since the last call is
     * noticed here first, before whoever asks acts on anything old.
     *
     * @return nanoseconds from an arbitrary origin
     */
    public long now() {
        long now = System.nanoTime();
        return Vertx.currentContext() == mContext ? mGuard.check(now) : now;
    }

    /**
     * Registers an action for the end of a pause of this process; it runs on the loop.
     *
     * @param listener the action
     */
    public void onPause(Runnable listener) {
        mGuard.onPause(listener);
    }

    /**
     * Runs an action on the loop, at once if the caller is on it already.
     *
     * @param action the action
     */
    public void run(Runnable action) {
        if (Vertx.currentContext() == mContext) {
            action.run();
        } else {
            mContext.runOnContext(v -> action.run());
        }
    }

    /**
     * Runs an action on the loop and waits for its result; not to be called from the loop.
     *
     * @param <T> the result's type
     * @param action yields a future result
     * @return the result
     * @throws FescuehollowException if the action fails with one
     */
    public <T> T await(Supplier<Future<T>> action) {
        CompletableFuture<T> done = new CompletableFuture<>();
        mContext.runOnContext(
                v -> {
                    try {
                        action.get()
                                .onSuccess(done::complete)
                                .onFailure(done::completeExceptionally);
                    } catch (RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            return done.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw e;
        }
    }

    /**
     * Runs an action repeatedly on the loop.
     *
     * @param millis the period in milliseconds
     * @param action the action
     * @return stops the repetition when run
     */
    public Runnable every(long millis, Runnable action) {
        AtomicLong timer = new AtomicLong(-1);
        AtomicBoolean stopped = new AtomicBoolean();
        run(
                () -> {
                    if (!stopped.get()) {
                        timer.set(mVertx.setPeriodic(millis, id -> action.run()));
                    }
                });
        return () -> {
            stopped.set(true);
            run(() -> mVertx.cancelTimer(timer.get()));
        };
    }

    /**
     * Runs an action once, later.
     *
     * @param millis the delay in milliseconds, at least one
     * @param action the action
     * @return withdraws the action when run
     */
    public Runnable after(long millis, Runnable action) {
        AtomicLong timer = new AtomicLong(-1);
        run(() -> timer.set(mVertx.setTimer(Math.max(1, millis), id -> action.run())));
        return () -> run(() -> mVertx.cancelTimer(timer.get()));
    }

    /**
     * Returns the Vert.x instance.
     *
     * @return the instance that runs the loop
     */
    public Vertx vertx() {
        return mVertx;
    }
}
