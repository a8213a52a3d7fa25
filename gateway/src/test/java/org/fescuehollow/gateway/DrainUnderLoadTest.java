package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Replays a planned stop while clients go on sending on open connections: each request that the
 * node has passed on gets its answer.
 */
class DrainUnderLoadTest {
    private static final int CLIENTS = 8;
    private static final int SERVER_MILLIS = 150;

    private final TestCluster mCluster = new TestCluster();

    @AfterEach
    void close() {
        mCluster.close();
    }

    @Test
    void stop_cutsNoRequestThatWasPassedOn() throws InterruptedException {
        EngineStandIn server = mCluster.addServer("i-1", "plain");
        server.onRequest(
                (received, request) ->
                        mCluster.vertx()
                                .setTimer(SERVER_MILLIS, t -> server.answerOk(received, request)));
        mCluster.configure(1);
        mCluster.startNodes(1);
        Set<String> answered = ConcurrentHashMap.newKeySet();
        AtomicBoolean stopped = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            String name = "id-" + c + "-";
            clients.add(new Thread(() -> sendUntil(stopped, name, answered)));
        }
        clients.forEach(Thread::start);
        Thread.sleep(500);
        mCluster.node(0).drainAndStop();
        stopped.set(true);
        for (Thread client : clients) {
            client.join();
        }
        Set<String> passedOn = new HashSet<>();
        server.receivedRequests().forEach(r -> passedOn.add(r.id()));
        then(passedOn).hasSizeGreaterThan(CLIENTS);
        then(answered).containsAll(passedOn);
    }

    private void sendUntil(AtomicBoolean stopped, String name, Set<String> answered) {
        for (int i = 0; !stopped.get(); i++) {
            try {
                if (mCluster.call(0, "/pay/", name + i, "x").statusCode() == 200) {
                    answered.add(name + i);
                }
            } catch (IllegalStateException e) {
                // The connection was refused or closed before the request was read.
                Thread.yield();
            }
        }
    }
}
