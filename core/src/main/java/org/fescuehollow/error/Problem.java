package org.fescuehollow.error;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What went wrong with a request, in the members of an RFC 9457 problem document.
 *
 * <pre>{@code
 * Problem p = Problem.of(ErrorCode.NO_CAPACITY, RunState.NOT_RUN, "queue is full", "send again");
 * }</pre>
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param code the stable code
 * @param runState whether the request ran
 * @param detail expected and actual, for a person
 * @param remedy what the reader should do
 * @param retryAfterSeconds when to send again; empty if sending again doesn't help
 * @param ticket a fresh idempotency ticket offered with the refusal
 * @param crashCount servers that crashed while they ran the request
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
     * Creates a problem that sending again doesn't mend.
     *
     * @param code the stable code
     * @param ran whether the request ran
     * @param detail expected and actual
     * @param remedy what to do
     * @return the problem
     */
    public static Problem of(ErrorCode code, RunState ran, String detail, String remedy) {
        return new Problem(code, ran, detail, remedy, OptionalInt.empty(), Optional.empty(), 0);
    }

    /**
     * Returns this problem with a time after which to send again.
     *
     * @param seconds whole seconds, at least one
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
     * Returns this problem with a ticket that the caller may use as its idempotency key.
     *
     * @param fresh a ticket never used before
     * @return the new problem
     */
    public Problem withTicket(String fresh) {
        return new Problem(
                code, runState, detail, remedy, retryAfterSeconds, Optional.of(fresh), crashCount);
    }

    /**
     * Returns this problem with the number of servers that crashed on the request.
     *
     * @param count the number
     * @return the new problem
     */
    public Problem withCrashCount(int count) {
        return new Problem(code, runState, detail, remedy, retryAfterSeconds, ticket, count);
    }
}
