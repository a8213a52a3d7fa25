package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.net.http.HttpResponse;
import org.fescuehollow.gateway.testsupport.LateCopyServer;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Replays a server that sends a second copy of a response, late, on a connection that is in use
 * again: the next caller must not get it.
 */
class LateCopyTest {
    private final TestCluster mCluster = new TestCluster();

    @AfterEach
    void close() {
        mCluster.close();
    }

    @Test
    void response_isNeverThatOfThePreviousRequestOnTheConnection() {
        LateCopyServer server = mCluster.addLateCopyServer("i-1", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
        for (int i = 0; i < 10; i++) {
            HttpResponse<String> response = mCluster.call(0, "/read/", "id-" + i, "x");
            if (response.statusCode() == 200) {
                then(response.body()).isEqualTo("answer to id-" + i);
            } else {
                then(response.statusCode()).isGreaterThanOrEqualTo(500);
            }
        }
        then(server.copies()).isPositive();
    }
}
