package org.fescuehollow.kernel;

/**
 * A component of a process that is started and stopped.
 *
 * <p>The kernel calls {@link #start} and {@link #stop} once each, from one thread.
 */
public interface Service {
    /**
     * Returns the name by which other services look up this one.
     *
     * @return unique within a kernel
     */
    String name();

    /**
     * Starts the service. Services listed earlier are already running.
     *
     * @param kernel looks up other services by name
     */
    void start(Kernel kernel);

    /** Stops the service and releases its resources. Services listed earlier are still running. */
    void stop();

    /**
     * Returns the service's state for the state dump of the process.
     *
     * @return plain data: maps, lists, strings and numbers
     */
    default Object dump() {
        return "running";
    }
}
