package org.fescuehollow.error;

import org.fescuehollow.model.AdapterRef;

/** Error of a request whose adapter could not be loaded. Stateless. */
public final class ShouldLoadAdapter {
    private ShouldLoadAdapter() {}

    /**
     * Creates the problem of an engine that no longer has an adapter.
     *
     * @param adapter the adapter and version
     * @return the problem
     */
    public static Problem shouldHoldAdapter(String adapter) {
        return Problem.of(
                        ErrorCode.ADAPTER_MISSING,
                        RunState.NOT_RUN,
                        "expected adapter " + adapter + " on the engine, but it isn't loaded",
                        "send again")
                .withRetryAfter(1);
    }

    /**
     * Creates the problem of an adapter that failed to load.
     *
     * @param adapter the adapter and version
     * @param failures the number of consecutive failed loads
     * @return the problem
     */
    public static Problem shouldLoadAdapter(AdapterRef adapter, int failures) {
        return Problem.of(
                        ErrorCode.LOAD_FAILED,
                        RunState.NOT_RUN,
                        "expected adapter " + adapter + " to load, " + failures + " loads failed",
                        "send again; if it fails again, check its files in the weight store")
                .withRetryAfter(2);
    }
}
