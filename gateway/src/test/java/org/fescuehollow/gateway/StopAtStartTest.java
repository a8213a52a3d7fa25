package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import org.fescuehollow.gateway.testsupport.EntryProcess;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;

/** A node that gets SIGTERM as soon as it accepts connections stops as planned. */
class StopAtStartTest {
    private static final System.Logger LOG = System.getLogger(StopAtStartTest.class.getName());

    private final TestCluster mCluster = new TestCluster();

    @AfterEach
    void close() {
        mCluster.close();
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket("127.0.0.1", mCluster.listenPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "not open yet", e);
            return false;
        }
    }

    @RepeatedTest(5)
    void node_thatAcceptsConnectionsExitsAsPlanned() throws InterruptedException {
        mCluster.bounds(new JsonObject().put("graceSeconds", 1.0));
        mCluster.addServer("i-1", "plain");
        mCluster.configure(1);
        EntryProcess process = mCluster.launchProcess();
        while (process.isAlive() && !acceptsConnections()) {
            Thread.onSpinWait();
        }
        process.terminate();
        then(process.awaitExit()).isZero();
    }
}
