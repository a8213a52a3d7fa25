package org.fescuehollow.gateway;

import sun.misc.Signal;

/** Signals to the process. Stateless. */
final class Signals {
    private Signals() {}

    /** Runs an action, on a thread of its own, whenever a signal comes. */
    static void handle(String name, Runnable action) {
        Signal.handle(new Signal(name), s -> action.run());
    }
}
