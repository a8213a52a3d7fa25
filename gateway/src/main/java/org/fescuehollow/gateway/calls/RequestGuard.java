package org.fescuehollow.gateway.calls;

import io.vertx.core.Handler;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fescuehollow.gateway.node.NodeContext;

/**
 * Runs the callbacks of one client request, so that an exception ends this request and no other.
 *
 * <p>Failure pattern: a field of a store entry or of a response that no check foresaw makes a
 * library throw. Without a guard the request would hang until its deadline, or be placed a second
 * time.
 *
 * <p>Invariant: an exception of a callback is logged, counted and passed to the listener; none
 * reaches the caller. Not thread-safe; used on the node's event loop.
 */
final class RequestGuard {
    private final NodeContext mNode;
    private final String mRequestId;
    private final Consumer<Throwable> mListener;
    private boolean mNotifying;

    /**
     * Creates a guard.
     *
     * @param listener ends the request
     */
    RequestGuard(NodeContext node, String requestId, Consumer<Throwable> listener) {
        mNode = node;
        mRequestId = requestId;
        mListener = listener;
    }

    /** Returns a handler that passes events to another one. */
    <T> Handler<T> handler(Handler<T> handler) {
        return event -> run(() -> handler.handle(event));
    }

    void run(Runnable action) {
        test(
                () -> {
                    action.run();
                    return true;
                });
    }

    /** Returns the result of a condition, or true if it threw an exception, which is handled. */
    boolean test(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (RuntimeException | StackOverflowError e) {
            record(e);
            notifyListener(e);
            return true;
        }
    }

    /** Notifies the listener, unless the exception is its own. */
    private void notifyListener(Throwable cause) {
        if (mNotifying) {
            return;
        }
        mNotifying = true;
        try {
            mListener.accept(cause);
        } catch (RuntimeException | StackOverflowError e) {
            record(e);
        } finally {
            mNotifying = false;
        }
    }

    private void record(Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        mNode.metrics().countEvent("request_exception");
        mNode.log()
                .event(
                        "request_exception",
                        "id",
                        mRequestId,
                        "cause",
                        cause,
                        "at",
                        trace.length == 0 ? "" : trace[0]);
    }
}
