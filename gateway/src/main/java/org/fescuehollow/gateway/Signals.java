package org.fescuehollow.gateway;

import sun.misc.Signal;

/** Handlers for signals to the process. Stateless. */
final class Signals {
    private Signals() {}

    /** Runs an action on a separate thread each time the process receives a signal. */
    static void handle(String name, Runnable action) {
        Signal.handle(new Signal(name), s -> action.run());
    }
}
