package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import org.fescuehollow.gateway.testsupport.RepeatedRefusalServer;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a server that writes an earlier refusal once more on a kept connection: the
 * request that gets it runs, so that its client must not be told that it didn't.
 */
class RepeatedRefusalTest {
    private static final int NOT_RUN_STATUS = 503;

    /** Short, so that the request soon gives up waiting for a server that takes it. */
    private static final int OBJECTIVE_MILLIS = 500;

    private final TestCluster mCluster = new TestCluster().latencyObjective(OBJECTIVE_MILLIS);
    private RepeatedRefusalServer mServer;

    @BeforeEach
    void start() {
        mServer = mCluster.addRepeatedRefusalServer("p-1", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nX-Fescuehollow-Not-Executed: 1\r\n",
                "HTTP/1.1 421 Misdirected\r\n",
                "HTTP/1.1 429 Busy\r\nX-Fescuehollow-Not-Executed: 1\r\n",
                "HTTP/1.1 503 Busy\r\nX-Fescuehollow-Not-Executed: 1\r\n"
                        + "X-Fescuehollow-Attempt-Id: warm\r\n"
            })
    void refusal_ofAnEarlierRequestIsNoRefusalOfTheNext(String refusal) {
        mServer.setRefusal(refusal);
        then(mCluster.call(0, "/read/", "warm", "x").statusCode()).isEqualTo(200);
        int status = mCluster.call(0, "/read/", "id-1", "x").statusCode();
        then(mServer.refusals()).isPositive();
        then(status).isNotEqualTo(NOT_RUN_STATUS);
    }
}
