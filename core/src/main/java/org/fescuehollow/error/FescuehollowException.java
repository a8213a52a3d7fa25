package org.fescuehollow.error;

/**
 * An unchecked exception that carries a {@link Problem}.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class FescuehollowException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Problem mProblem;

    /**
     * Creates the exception.
     *
     * @param problem what went wrong
     */
    public FescuehollowException(Problem problem) {
        super(problem.code().wireName() + ": " + problem.detail() + "; " + problem.remedy());
        mProblem = problem;
    }

    /**
     * Returns what went wrong.
     *
     * @return the problem
     */
    public Problem problem() {
        return mProblem;
    }
}
