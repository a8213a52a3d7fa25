package org.fescuehollow.idempotency;

import java.util.Optional;
import org.fescuehollow.error.Problem;

/**
 * The outcome of a call, stored so that a retry of the call gets it again.
 *
 * <p>Immutable; the body must not be changed. Safe for use by any thread.
 *
 * @param status the HTTP status
 * @param contentType the body's content type
 * @param body the complete body
 * @param problem the problem of a failed call, which is returned in place of the body
 */
public record Outcome(int status, String contentType, byte[] body, Optional<Problem> problem) {
    /**
     * Creates the outcome of a complete response.
     *
     * @param status the HTTP status
     * @param contentType the body's content type
     * @param body the complete body
     * @return the outcome
     */
    public static Outcome ofResponse(int status, String contentType, byte[] body) {
        return new Outcome(status, contentType, body, Optional.empty());
    }

    /**
     * Creates the outcome of a failed call.
     *
     * @param problem the problem
     * @return the outcome
     */
    public static Outcome ofProblem(Problem problem) {
        return new Outcome(problem.code().status(), "", new byte[0], Optional.of(problem));
    }
}
