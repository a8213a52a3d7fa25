package org.fescuehollow.catalog;

import java.util.List;

/**
 * Where requests with a certain host and path prefix go.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix begins the path; begins and ends with a slash
 * @param kind how often its requests may run
 * @param timeoutMillis the longest time a request may be kept waiting
 * @param objectiveMillis the latency objective
 * @param maxPauseMillis the longest pause between two events of a stream that is still on time
 * @param rank its priority, 0 being the most urgent
 * @param targets services with their weights; never empty
 * @param maxAttempts the most engines that may run one request
 * @param resumable whether streams can be resumed at an event
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
     * A service that a route sends to.
     *
     * @param service the service's name
     * @param weight its share among the route's targets
     */
    public record Target(String service, int weight) {}

    /** Copies the list of targets. */
    public Route {
        targets = List.copyOf(targets);
    }

    /**
     * Tells whether its requests may run more than once.
     *
     * @return true if a repetition does no harm
     */
    public boolean isRetryable() {
        return kind.isRetryable(resumable);
    }

    /**
     * Picks a service by weight.
     *
     * @param draw a number from 0 to below 1
     * @return the service's name
     */
    public String pickService(double draw) {
        double left = draw * targets.stream().mapToInt(Target::weight).sum();
        for (Target t : targets) {
            left -= t.weight();
            if (left < 0) {
                return t.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
