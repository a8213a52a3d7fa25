package org.fescuehollow.drain;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.catalog.RouteKind;
import org.fescuehollow.dispatch.DispatchRequest;

/**
 * The phases of a planned stop, and which requests may still be sent to an engine.
 *
 * <p>A request that is sent late in the grace period would be cut off if the process exits while
 * its engine is at work; one that is refused unsent is soon served by another node.
 *
 * <p>Invariant: a request that may not be sent at one time may not be sent at any later time.
 * Immutable and safe for use by any thread. Times are monotonic, in nanoseconds.
 *
 * @param startNanos when the stop signal arrived
 * @param graceNanos the time from the stop signal until the process is killed
 */
public record DrainSchedule(long startNanos, long graceNanos) {
    /**
     * Time after the stop signal until the load balancer sends no new connections: it needs two
     * failed readiness checks, a second apart.
     */
    private static final long READINESS_PROPAGATION_NANOS = Duration.ofMillis(2_600).toNanos();

    /** Part of the grace period that is reserved for final answers and the exit. */
    private static final long MAX_RESERVE_NANOS = Duration.ofMillis(700).toNanos();

    /** Share of a short grace period that is reserved for the same. */
    private static final int RESERVE_DIVISOR = 8;

    /** Share of the reserve that is left when the process exits at the latest. */
    private static final int EXIT_MARGIN_DIVISOR = 3;

    /** Share of the reserve that is left if the event loop does not exit in time. */
    private static final int FORCED_EXIT_MARGIN_DIVISOR = 6;

    /** Safety factor for requests that may run only once, as nobody can repeat one that was cut. */
    private static final int ONCE_FACTOR = 2;

    /** Latency objectives within which a stream usually ends; the objective is its first event. */
    private static final int STREAM_OBJECTIVES = 3;

    /**
     * Returns when connections without a request are closed: once no new ones are expected.
     *
     * @return the monotonic time in nanoseconds
     */
    public long idleCloseNanos() {
        return Math.min(startNanos + READINESS_PROPAGATION_NANOS, finalAnswersNanos());
    }

    /**
     * Returns when all requests whose responses have not begun get their final answers. A response
     * that has begun goes on until the exit, as no final answer can follow it.
     *
     * @return the monotonic time in nanoseconds
     */
    public long finalAnswersNanos() {
        return startNanos + graceNanos - reserveNanos();
    }

    /**
     * Returns when responses that have begun are cut and the process exits, even if answers were
     * not yet written.
     *
     * @return the monotonic time in nanoseconds
     */
    public long exitNanos() {
        return startNanos + graceNanos - reserveNanos() / EXIT_MARGIN_DIVISOR;
    }

    /**
     * Returns when the process exits even if its event loop does not.
     *
     * @return the monotonic time in nanoseconds
     */
    public long forcedExitNanos() {
        return startNanos + graceNanos - reserveNanos() / FORCED_EXIT_MARGIN_DIVISOR;
    }

    private long reserveNanos() {
        return Math.min(MAX_RESERVE_NANOS, graceNanos / RESERVE_DIVISOR);
    }

    /**
     * Returns whether a request may be sent to an engine: if it has a fair chance to end in time. A
     * stream that arrived after the load balancer took the node out is sent only if its deadline
     * ensures that it ends in time, as a stream that has begun can't get a final answer.
     *
     * @param request the request
     * @param route its route
     * @param usualNanos the time from arrival to end that requests of the route usually take, if
     *     known
     * @param now the monotonic time in nanoseconds
     * @return false if it should be refused
     */
    public boolean maySend(
            DispatchRequest request, Route route, OptionalLong usualNanos, long now) {
        if (!mayGoOn(now)) {
            return false;
        }
        if (request.deadlineNanos() <= finalAnswersNanos()) {
            return true;
        }
        boolean arrivedLate = request.arrivalNanos() > startNanos + READINESS_PROPAGATION_NANOS;
        if (route.kind() == RouteKind.STREAM && arrivedLate && !request.resumed()) {
            return false;
        }
        long objectiveNanos = request.objectiveNanos() - request.arrivalNanos();
        return now + neededNanos(route, usualNanos, objectiveNanos) <= finalAnswersNanos();
    }

    /**
     * Returns whether a request may be sent that was taken from an engine which might still have
     * answered it. Refusing it would end its answer sooner than the engine would have, so it has
     * all the time there is.
     *
     * @param now the monotonic time in nanoseconds
     * @return false once final answers are sent
     */
    public boolean mayGoOn(long now) {
        return now < finalAnswersNanos();
    }

    private static long neededNanos(Route route, OptionalLong usualNanos, long objectiveNanos) {
        return switch (route.kind()) {
            case IDEMPOTENT -> usualNanos.orElse(objectiveNanos);
            case AT_MOST_ONCE -> ONCE_FACTOR * usualNanos.orElse(objectiveNanos);
            case STREAM -> usualNanos.orElse(STREAM_OBJECTIVES * objectiveNanos);
        };
    }
}
