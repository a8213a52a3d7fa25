package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.EndlessServer;
import org.fescuehollow.gateway.testsupport.EndlessServer.Script;
import org.fescuehollow.gateway.testsupport.RawClient;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Engines that send bytes without end, in each part of a response. The node must close the
 * connection, keep few bytes and serve other clients meanwhile.
 */
class EndlessBytesTest {
    /** What the sockets on the way may hold, besides a response as long as the node accepts. */
    private static final long MAX_BYTES = 16L * 1024 * 1024;

    private static final long DEADLINE_MILLIS = 120_000;
    private static final long SHORT_DEADLINE_MILLIS = 2_000;
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();
    private static final int REQUESTS = 4;

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String SEALED =
            "X-Fescuehollow-Attempt-Id: " + EndlessServer.ID + "\r\nX-Fescuehollow-Server-Seal: s";
    private static final String SEALED_CHUNKS =
            OK + SEALED + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n";
    private static final String REFUSED = "HTTP/1.1 503 x\r\nX-Fescuehollow-Not-Executed: 1\r\n";

    private final TestCluster mCluster = new TestCluster();

    /** The part of a response that never ends, though the response can't be a valid one. */
    enum Part {
        NO_HTTP("", "x"),
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        BLANK_LINES("", "\r\n"),
        HEADER(OK + "X-Junk: ", "x"),
        HEADERS(OK, "X-Junk: x\r\n"),
        FOLDED_HEADER(OK + "X-Junk: x\r\n", " x\r\n"),
        PROTOCOL_SWITCH(
                "HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n" + SEALED + "\r\n\r\n",
                "x"),
        CHUNK_SIZE(SEALED_CHUNKS, "0"),
        CHUNK_EXTENSION(SEALED_CHUNKS + "1;", "x"),
        CHUNK_END(SEALED_CHUNKS + "1\r\nx", "x"),
        TRAILER(SEALED_CHUNKS + "0\r\nX-Junk: ", "x"),
        TRAILERS(SEALED_CHUNKS + "0\r\n", "X-Junk: x\r\n"),
        UNSEALED_LENGTH(OK + "Content-Length: 9000000000000\r\n\r\n", "x"),
        UNSEALED_CHUNKS(OK + CHUNKED, "x"),
        UNSEALED_UNTIL_CLOSED(OK + "\r\n", "x"),
        REFUSED_LENGTH(REFUSED + "Content-Length: 9000000000000\r\n\r\n", "x"),
        REFUSED_CHUNKS(REFUSED + CHUNKED, "x"),
        REFUSED_UNTIL_CLOSED(REFUSED + "\r\n", "x"),
        MISDIRECTED("HTTP/1.1 421 x\r\n" + CHUNKED, "x"),
        OTHER_REQUEST(OK + "X-Fescuehollow-Attempt-Id: other\r\n" + CHUNKED, "x");

        private final Script mScript;

        Part(String start, String filler) {
            mScript = Script.flood(start, filler);
        }
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private EndlessServer start(Script script) {
        EndlessServer server = mCluster.addEndlessServer("i-1", "plain", script);
        mCluster.addServer("i-2", "llm");
        mCluster.configure(1);
        mCluster.startNodes(1);
        return server;
    }

    private RawClient send(String path, String id, long deadlineMillis) {
        return RawClient.send(mCluster.listenPort(), mCluster.rawRequest(path, id, deadlineMillis));
    }

    private void thenOtherClientsAreServed() {
        TestCluster.await(() -> mCluster.callBaseModel("/chat/", "other").statusCode() == 200);
    }

    private static void thenClosedEarly(EndlessServer server) {
        TestCluster.await(server::isClosedByCallers);
        then(server.mostBytes()).isLessThan(MAX_BYTES);
    }

    @ParameterizedTest
    @EnumSource
    void part_thatIsEndlessClosesTheConnection(Part part) {
        EndlessServer server = start(part.mScript);
        List<RawClient> clients =
                IntStream.range(0, REQUESTS)
                        .mapToObj(
                                i ->
                                        send(
                                                i % 2 == 0 ? "/pay/" : "/read/",
                                                "a" + i,
                                                DEADLINE_MILLIS))
                        .toList();
        thenOtherClientsAreServed();
        clients.forEach(c -> then(c.read(STATUS_LINE_BYTES)).matches("HTTP/1.1 50[23]"));
        thenClosedEarly(server);
        clients.forEach(RawClient::close);
    }

    @ParameterizedTest
    @EnumSource
    void part_thatIsEndlessInAStreamClosesTheConnection(Part part) {
        EndlessServer server = mCluster.addEndlessServer("i-1", "llm", part.mScript);
        mCluster.addServer("i-2", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
        List<RawClient> clients =
                IntStream.range(0, REQUESTS)
                        .mapToObj(
                                i ->
                                        send(
                                                i % 2 == 0 ? "/chat/" : "/talk/",
                                                "a" + i,
                                                DEADLINE_MILLIS))
                        .toList();
        TestCluster.await(() -> mCluster.call(0, "/read/", "other", "x").statusCode() == 200);
        clients.forEach(c -> then(c.read(STATUS_LINE_BYTES)).matches("HTTP/1.1 50[23]|"));
        thenClosedEarly(server);
        clients.forEach(RawClient::close);
    }

    @ParameterizedTest
    @EnumSource
    void interimResponses_withoutEndCloseTheConnection(Interim interim) {
        EndlessServer server = start(Script.flood("", interim.mBytes));
        try (RawClient client = send("/pay/", "a", DEADLINE_MILLIS)) {
            thenOtherClientsAreServed();
            then(client.read(STATUS_LINE_BYTES)).isEqualTo("HTTP/1.1 502");
            thenClosedEarly(server);
        }
    }

    @ParameterizedTest
    @EnumSource
    void interimResponses_thatDripEndAtTheDeadline(Interim interim) {
        start(new Script("", interim.mBytes, 100));
        try (RawClient client = send("/pay/", "a", SHORT_DEADLINE_MILLIS)) {
            then(client.read(STATUS_LINE_BYTES)).matches("HTTP/1.1 50[24]");
        }
    }

    /** Responses before the final one, of which any number is allowed. */
    enum Interim {
        CONTINUE("HTTP/1.1 100 x\r\n\r\n"),
        PROCESSING("HTTP/1.1 102 x\r\n\r\n"),
        EARLY_HINTS("HTTP/1.1 103 x\r\nLink: x\r\n\r\n");

        private final String mBytes;

        Interim(String bytes) {
            mBytes = bytes;
        }
    }

    @Test
    void bytes_afterACompleteResponseCloseTheConnection() {
        EndlessServer server =
                start(Script.flood(OK + SEALED + "\r\nContent-Length: 2\r\n\r\nok", "x"));
        try (RawClient client = send("/read/", "a", DEADLINE_MILLIS)) {
            then(client.read(STATUS_LINE_BYTES)).isEqualTo("HTTP/1.1 200");
            thenClosedEarly(server);
            thenOtherClientsAreServed();
        }
    }

    @Test
    void body_whoseClientStopsReadingIsNotReadEither() {
        EndlessServer server = start(Script.flood(OK + SEALED + "\r\n" + CHUNKED, "x"));
        try (RawClient client = send("/read/", "a", SHORT_DEADLINE_MILLIS)) {
            then(client.read(STATUS_LINE_BYTES)).isEqualTo("HTTP/1.1 200");
            thenOtherClientsAreServed();
            thenClosedEarly(server);
        }
    }

    @Test
    void body_whoseClientLeavesIsNotReadEither() {
        EndlessServer server = start(Script.flood(OK + SEALED + "\r\n" + CHUNKED, "x"));
        send("/read/", "a", DEADLINE_MILLIS).close();
        TestCluster.await(server::isClosedByCallers);
        then(server.mostBytes()).isLessThan(MAX_BYTES);
        thenOtherClientsAreServed();
    }

    @Test
    void body_thatIsEndlessIsAbortedAtTheDeadline() {
        EndlessServer server = start(new Script(OK + SEALED + "\r\n" + CHUNKED, "x", 100));
        try (RawClient client = send("/read/", "a", SHORT_DEADLINE_MILLIS)) {
            thenOtherClientsAreServed();
            then(client.read(STATUS_LINE_BYTES)).isEqualTo("HTTP/1.1 504");
            TestCluster.await(server::isClosedByCallers);
        }
    }

    @Test
    void head_thatDripsIsAbortedAtTheDeadline() {
        EndlessServer server = start(new Script(OK + "X-Junk: ", "x", 100));
        try (RawClient client = send("/pay/", "a", SHORT_DEADLINE_MILLIS)) {
            then(client.read(STATUS_LINE_BYTES)).isEqualTo("HTTP/1.1 504");
            TestCluster.await(server::isClosedByCallers);
        }
    }
}
