package org.fescuehollow.error;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A rejected or failed request, with the members of an RFC 9457 problem document.
 *
 * <pre>{@code
 * Problem p = Problem.of(ErrorCode.NO_CAPACITY, RunState.NOT_RUN, "queue is full", "send again");
 * }</pre>
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param code the stable code
 * @param runState whether the request ran
 * @param detail the expected and the actual state, for a human reader
 * @param remedy what the client or operator should do
 * @param retryAfterSeconds the delay before a retry; empty if a retry doesn't help
 * @param ticket a new idempotency ticket that comes with the rejection
 * @param crashCount the number of servers that crashed while running the request
 */
public record Problem(
        ErrorCode code,
        RunState runState,
        String detail,
        String remedy,
        OptionalInt retryAfterSeconds,
        Optional<String> ticket,
        int crashCount) {
    /**
     * Creates a problem that a retry doesn't solve.
     *
     * @param code the stable code
     * @param ran whether the request ran
     * @param detail the expected and the actual state
     * @param remedy what to do
     * @return the problem
     */
    public static Problem of(ErrorCode code, RunState ran, String detail, String remedy) {
        return new Problem(code, ran, detail, remedy, OptionalInt.empty(), Optional.empty(), 0);
    }

    /**
     * Returns this problem with a delay before a retry.
     *
     * @param seconds the delay in seconds; less than one counts as one
     * @return the new problem
     */
    public Problem withRetryAfter(int seconds) {
        return new Problem(
                code,
                runState,
                detail,
                remedy,
                OptionalInt.of(Math.max(1, seconds)),
                ticket,
                crashCount);
    }

    /**
     * Returns this problem with another run state.
     *
     * @param state the run state
     * @return the new problem
     */
    public Problem withRunState(RunState state) {
        return new Problem(code, state, detail, remedy, retryAfterSeconds, ticket, crashCount);
    }

    /**
     * Returns this problem with a ticket that the client may use as its idempotency key.
     *
     * @param newTicket an unused ticket
     * @return the new problem
     */
    public Problem withTicket(String newTicket) {
        return new Problem(
                code,
                runState,
                detail,
                remedy,
                retryAfterSeconds,
                Optional.of(newTicket),
                crashCount);
    }

    /**
     * Returns this problem with the number of servers that crashed while running the request.
     *
     * @param count the number of servers
     * @return the new problem
     */
    public Problem withCrashCount(int count) {
        return new Problem(code, runState, detail, remedy, retryAfterSeconds, ticket, count);
    }
}
