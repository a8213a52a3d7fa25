package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import java.io.UncheckedIOException;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.RawClient;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A response over HTTP/1.0 has no chunks and ends with its connection; one that is cut must not end
 * in the same way.
 */
class CutResponseOverHttp10Test {
    private final TestCluster mCluster = new TestCluster();
    private final EngineStandIn mEngine = mCluster.addServer("i-1", "llm");

    @AfterEach
    void close() {
        mCluster.close();
    }

    @Test
    void stream_thatIsCutDoesNotLookComplete() {
        mEngine.onRequest(
                (received, request) ->
                        mEngine.streamOneEvent(
                                received, request, r -> request.connection().close()));
        mCluster.configure(1);
        mCluster.startNodes(1);
        String request = RawClient.request("/talk/", "id-1", 60_000);
        String old = request.replace("HTTP/1.1", "HTTP/1.0");
        try (RawClient client = RawClient.send(mCluster.listenPort(), old)) {
            thenThrownBy(() -> client.read(100_000)).isInstanceOf(UncheckedIOException.class);
        }
    }
}
