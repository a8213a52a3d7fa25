package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import org.fescuehollow.gateway.testsupport.EndlessServer;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Failing servers that send endless bytes instead of a valid response, in its head or its body. */
class EndlessResponseTest {
    private static final String ENDLESS_CHUNK = "7fffffff\r\n";

    private final TestCluster mCluster = new TestCluster();

    @AfterEach
    void close() {
        mCluster.close();
    }

    private void start() {
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    private static String head(int status, String headers) {
        return "HTTP/1.1 " + status + " x\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String sealHeaders(String id) {
        return "X-Fescuehollow-Attempt-Id: " + id + "\r\nX-Fescuehollow-Server-Seal: s\r\n";
    }

    @Test
    void head_thatIsEndlessFailsTheRequestAndClosesTheConnection() {
        EndlessServer server =
                mCluster.addEndlessServer("i-1", "plain", "HTTP/1.1 200 OK\r\nX-Junk: ");
        start();
        then(mCluster.call(0, "/pay/", "id-1", "x").statusCode()).isEqualTo(502);
        TestCluster.await(() -> server.closedConnections() == server.requestedConnections());
    }

    @Test
    void bytes_thatAreNoResponseMakeAnIdempotentRequestRetryElsewhere() {
        EndlessServer server = mCluster.addEndlessServer("i-1", "plain", "");
        mCluster.addServer("i-2", "plain");
        start();
        for (int i = 0; i < 4; i++) {
            then(mCluster.call(0, "/read/", "id-" + i, "x").body()).isEqualTo("answer of i-2 to x");
        }
        TestCluster.await(() -> server.closedConnections() == server.requestedConnections());
    }

    @Test
    void body_withoutSealFailsTheRequestAndClosesTheConnection() {
        String responseStart = head(200, "") + ENDLESS_CHUNK;
        EndlessServer server = mCluster.addEndlessServer("i-1", "plain", responseStart);
        start();
        then(mCluster.call(0, "/pay/", "id-1", "x").statusCode()).isEqualTo(502);
        TestCluster.await(() -> server.closedConnections() == server.requestedConnections());
    }

    @Test
    void event_thatIsEndlessAbortsTheStream() {
        // GIVEN a single engine, which streams an endless event
        String responseStart = head(200, sealHeaders("id-1")) + ENDLESS_CHUNK + "id: 1\ndata: ";
        EndlessServer server = mCluster.addEndlessServer("i-1", "llm", responseStart);
        start();
        // WHEN a request for the base model is streamed
        // THEN the stream is aborted long before the deadline, so that it looks incomplete
        thenThrownBy(() -> then(mCluster.callModel("m", "id-1").statusCode()).isEqualTo(200))
                .isInstanceOfAny(IllegalStateException.class, AssertionError.class);
        TestCluster.await(() -> server.closedConnections() > 0);
    }

    @Test
    void report_thatIsEndlessAffectsNoOtherEngine() {
        String responseStart = head(200, "") + ENDLESS_CHUNK;
        EndlessServer server = mCluster.addEndlessServer("i-1", "llm", responseStart);
        mCluster.addServer("i-2", "llm");
        start();
        TestCluster.await(() -> server.closedConnections() > 0);
        TestCluster.await(() -> mCluster.call(0, "/chat/", "id", "x").statusCode() == 200);
    }
}
