package org.fescuehollow.server.call;

/** Withdraws an attempt; a second withdrawal does nothing. Called on the node's loop. */
@FunctionalInterface
public interface CallHandle {
    /** Withdraws the attempt: unsent it never starts, running it is cancelled on its server. */
    void cancel();
}
