package org.fescuehollow.faults;

import java.util.Optional;
import org.fescuehollow.error.Problem;

/** The result of a call as its client gets it: a response text or a problem. */
record CallResult(String text, Optional<Problem> problem) {
    static CallResult success(String text) {
        return new CallResult(text, Optional.empty());
    }

    static CallResult failure(Problem problem) {
        return new CallResult("", Optional.of(problem));
    }

    @Override
    public String toString() {
        return problem.map(p -> p.code() + " " + p.runState()).orElse("success " + text);
    }
}
