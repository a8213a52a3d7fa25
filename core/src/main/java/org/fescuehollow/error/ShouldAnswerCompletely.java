package org.fescuehollow.error;

/** Errors of backend servers that fail before or during their response. Stateless. */
public final class ShouldAnswerCompletely {
    private ShouldAnswerCompletely() {}

    /**
     * Creates the problem of a backend server that failed before its response began.
     *
     * @param ran whether the request may have run
     * @param why the cause
     * @return the problem
     */
    public static Problem shouldAnswer(RunState ran, String why) {
        return Problem.of(
                        ErrorCode.BACKEND_FAILED,
                        ran,
                        "expected a response from the backend server, but " + why,
                        remedyFor(ran))
                .withRetryAfter(1);
    }

    /**
     * Creates the problem of a response that ended early.
     *
     * @param why the cause
     * @return the problem
     */
    public static Problem shouldAnswerCompletely(String why) {
        return Problem.of(
                ErrorCode.ANSWER_INCOMPLETE,
                RunState.RAN,
                "expected the whole answer, but " + why,
                "discard the part received; send again if the call is idempotent");
    }

    private static String remedyFor(RunState ran) {
        return ran == RunState.NOT_RUN
                ? "send again"
                : "look up the outcome before you send again, unless the request is idempotent";
    }
}
