package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that runs out of memory because faulty servers stop within many responses,
 * each of which is short of what a node holds of a single one.
 */
class HeldResponsesTest {
    /** Enough for all requests to be at a server at the same time. */
    private static final int SERVERS = 20;

    private static final int REQUESTS = 120;
    private static final int PART_BYTES = 200 * 1024;

    /** What a node holds of all responses together. */
    private static final int MAX_HELD_BYTES = 16 * 1024 * 1024;

    private static final int MIN_NOT_HELD = REQUESTS - MAX_HELD_BYTES / PART_BYTES - 1;

    private final TestCluster mCluster = new TestCluster();
    private final ExecutorService mClients = Executors.newFixedThreadPool(REQUESTS);

    @AfterEach
    void close() {
        mClients.shutdownNow();
        mCluster.close();
    }

    private static String head(int status, String id) {
        return "HTTP/1.1 "
                + status
                + " x\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: s\r\nContent-Length: 1000000\r\n\r\n";
    }

    private void start(int status, String partStart) {
        String part = partStart + "x".repeat(PART_BYTES);
        IntStream.range(0, SERVERS)
                .mapToObj(i -> mCluster.addScriptedServer("i-" + i, "llm"))
                .forEach(
                        s ->
                                s.onRequest(
                                        r ->
                                                Answer.inOnePacket(
                                                        head(status, r.id()) + part,
                                                        Ending.KEEP_OPEN)));
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    /** Counts the clients that get a status while their server sends nothing more. */
    private AtomicInteger request(int status) {
        AtomicInteger heard = new AtomicInteger();
        IntStream.range(0, REQUESTS)
                .forEach(
                        i ->
                                CompletableFuture.runAsync(
                                        () -> {
                                            if (mCluster.awaitStatus("/talk/", "id-" + i)
                                                    == status) {
                                                heard.incrementAndGet();
                                            }
                                        },
                                        mClients));
        return heard;
    }

    @Test
    void responses_beyondTheBudgetArePassedOnBeforeTheyAreComplete() {
        start(404, "");
        AtomicInteger heard = request(404);
        TestCluster.await(() -> heard.get() >= MIN_NOT_HELD);
        then(heard.get()).isLessThan(REQUESTS);
    }

    @Test
    void events_beyondTheBudgetEndTheirStreams() {
        start(200, "id: 1\ndata: ");
        AtomicInteger heard = request(502);
        TestCluster.await(() -> heard.get() >= MIN_NOT_HELD);
        then(heard.get()).isLessThan(REQUESTS);
    }
}
