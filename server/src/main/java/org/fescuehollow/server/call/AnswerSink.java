package org.fescuehollow.server.call;

import io.vertx.core.buffer.Buffer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.placement.Quote;

/**
 * Receives one attempt's answer: a head, then chunks, then an end; or a failure at any point.
 *
 * <p>Invariant: after {@link #end}, {@link #failed} or {@link #declined} nothing follows. All
 * methods are called on the node's loop.
 */
public interface AnswerSink {
    /**
     * Takes the head.
     *
     * @param head the head
     */
    void head(AnswerHead head);

    /**
     * Takes a part of the body.
     *
     * @param data whole events of a stream, or the whole body
     */
    void chunk(Buffer data);

    /** Takes the end of a whole answer. */
    void end();

    /**
     * Takes a failure.
     *
     * @param problem the reason, with whether the attempt ran
     */
    void failed(Problem problem);

    /**
     * Takes that the coordinator declined the attempt.
     *
     * @param quote what taking it would cost
     */
    void declined(Quote quote);

    /**
     * Tells whether the receiver is behind, so that the sender should pause.
     *
     * @return true if the sender should pause until drained
     */
    default boolean isFull() {
        return false;
    }

    /**
     * Registers an action to run once the receiver has caught up.
     *
     * @param action resumes the sender
     */
    default void onDrain(Runnable action) {
        action.run();
    }
}
