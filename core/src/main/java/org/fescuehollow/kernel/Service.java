package org.fescuehollow.kernel;

/**
 * A part of a process with a start and a stop.
 *
 * <p>The kernel calls {@link #start} and {@link #stop} once each, from one thread.
 */
public interface Service {
    /**
     * Returns the name under which other services find this one.
     *
     * @return unique within a kernel
     */
    String name();

    /**
     * Starts the service; the services that it names are already running.
     *
     * @param kernel finds other services by name
     */
    void start(Kernel kernel);

    /** Stops the service and releases what it holds; the services it uses still run. */
    void stop();

    /**
     * Returns what the service knows, for the process's state dump.
     *
     * @return plain data: maps, lists, texts and numbers
     */
    default Object dump() {
        return "running";
    }
}
