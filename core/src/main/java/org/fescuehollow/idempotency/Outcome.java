package org.fescuehollow.idempotency;

import java.util.Optional;
import org.fescuehollow.error.Problem;

/**
 * What became of a call, as it is told again to a caller that sends it again.
 *
 * <p>Immutable; the body must not be changed. Safe for use by any thread.
 *
 * @param status the HTTP status
 * @param contentType the body's content type
 * @param body the whole body
 * @param problem the problem in place of an answer
 */
public record Outcome(int status, String contentType, byte[] body, Optional<Problem> problem) {
    /**
     * Creates the outcome of a whole answer.
     *
     * @param status the HTTP status
     * @param contentType the body's content type
     * @param body the whole body
     * @return the outcome
     */
    public static Outcome ofResponse(int status, String contentType, byte[] body) {
        return new Outcome(status, contentType, body, Optional.empty());
    }

    /**
     * Creates the outcome of a failure after the call may have been sent.
     *
     * @param problem the problem
     * @return the outcome
     */
    public static Outcome ofProblem(Problem problem) {
        return new Outcome(problem.code().status(), "", new byte[0], Optional.of(problem));
    }
}
