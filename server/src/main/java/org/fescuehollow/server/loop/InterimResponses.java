package org.fescuehollow.server.loop;

import io.vertx.core.http.HttpClientRequest;

/**
 * Counts the interim responses of one request, as a faulty server may send them without end.
 *
 * <p>Used on the node's loop.
 */
public final class InterimResponses {
    /** Far more than a server has reason to send before one response. */
    private static final int MAX_INTERIM_RESPONSES = 100;

    private final HttpClientRequest mRequest;
    private int mCount;

    private InterimResponses(HttpClientRequest request) {
        mRequest = request;
    }

    /**
     * Fails a request and closes its connection after too many interim responses. Call it before
     * the request is sent.
     *
     * @param request the request
     */
    public static void limit(HttpClientRequest request) {
        InterimResponses responses = new InterimResponses(request);
        request.continueHandler(v -> responses.onResponse());
        request.earlyHintsHandler(h -> responses.onResponse());
    }

    private void onResponse() {
        mCount++;
        if (mCount > MAX_INTERIM_RESPONSES) {
            mRequest.reset(
                    0,
                    new IllegalStateException(
                            "expected a final response after at most "
                                    + MAX_INTERIM_RESPONSES
                                    + " interim ones"));
        }
    }
}
