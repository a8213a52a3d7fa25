package org.fescuehollow.error;

import org.fescuehollow.model.AdapterRef;

/** Error of a request whose adapter could not be loaded. Stateless. */
public final class ShouldLoadAdapter {
    private ShouldLoadAdapter() {}

    /**
     * Creates the problem of an engine that has lost an adapter.
     *
     * @param adapter the adapter and version
     * @return the problem
     */
    public static Problem shouldHoldAdapter(String adapter) {
        return Problem.of(
                        ErrorCode.ADAPTER_MISSING,
                        RunState.NOT_RUN,
                        "expected the engine to hold adapter " + adapter + ", it has lost it",
                        "send again")
                .withRetryAfter(1);
    }

    /**
     * Creates the problem.
     *
     * @param adapter the adapter and version
     * @param failures how many loads failed in a row
     * @return the problem
     */
    public static Problem shouldLoadAdapter(AdapterRef adapter, int failures) {
        return Problem.of(
                        ErrorCode.LOAD_FAILED,
                        RunState.NOT_RUN,
                        "expected adapter " + adapter + " to load, failed " + failures + " times",
                        "send again; if it lasts, check the adapter's files in the weight store")
                .withRetryAfter(2);
    }
}
