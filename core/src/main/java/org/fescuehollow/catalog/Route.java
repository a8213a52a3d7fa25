package org.fescuehollow.catalog;

import java.util.List;

/**
 * Routing rule for requests with a given host and path prefix.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the route's name
 * @param host the host that clients name
 * @param pathPrefix the prefix of the path; begins and ends with a slash
 * @param kind the kind of its requests, which decides whether they may be retried
 * @param timeoutMillis the maximum duration of a request
 * @param objectiveMillis the latency objective
 * @param maxPauseMillis the longest allowed pause between two events of a stream
 * @param rank the priority; 0 is the most urgent
 * @param targets the services with their weights; never empty
 * @param maxAttempts the maximum number of engines that may run one request
 * @param resumable whether an interrupted stream can be resumed after its last event
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long maxPauseMillis,
        int rank,
        List<Target> targets,
        int maxAttempts,
        boolean resumable) {
    /**
     * A service that receives requests of a route.
     *
     * @param service the service's name
     * @param weight its weight relative to the route's other targets
     */
    public record Target(String service, int weight) {}

    /** Copies the targets. */
    public Route {
        targets = List.copyOf(targets);
    }

    /**
     * Returns whether requests of this route may be retried after they may have run.
     *
     * @return true if running a request twice is harmless
     */
    public boolean isRetryable() {
        return kind.isRetryable(resumable);
    }

    /**
     * Picks a service by weighted random choice.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     * @return the service's name
     */
    public String pickService(double draw) {
        double remaining = draw * targets.stream().mapToInt(Target::weight).sum();
        for (Target t : targets) {
            remaining -= t.weight();
            if (remaining < 0) {
                return t.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
