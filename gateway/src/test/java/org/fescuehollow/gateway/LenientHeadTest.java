package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.net.http.HttpResponse;
import java.util.List;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What a client gets of heads that the standard doesn't allow and that the decoder may repair. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class LenientHeadTest {
    private static final String LENGTH = "Content-Length: 6\r\n";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n";
    private static final String CHUNKED_BODY = "6\r\nanswer\r\n0\r\n\r\n";
    private static final int BAD_GATEWAY = 502;

    private final TestCluster mCluster = new TestCluster();
    private ScriptedServer mServer;

    /** A head, without id and seal, of a response with the body {@code answer}. */
    private enum Form {
        LENGTH_AND_CHUNKS(200, "HTTP/1.1 200 OK\r\n", LENGTH + CHUNKS, CHUNKED_BODY),
        SIGNED_STATUS(0, "HTTP/1.1 +200 OK\r\n", LENGTH, "answer"),
        LONG_STATUS(0, "HTTP/1.1 0200 OK\r\n", LENGTH, "answer"),
        BLANK_BEFORE_COLON(200, "HTTP/1.1 200 OK\r\n", "X-Note : a\r\n" + LENGTH, "answer"),
        FOLDED_FIELD(200, "HTTP/1.1 200 OK\r\n", "X-Note: a\r\n b\r\n" + LENGTH, "answer"),
        BARE_LF(0, "HTTP/1.1 200 OK\n", LENGTH.replace("\r", ""), "answer"),
        CONTROLS_BEFORE_STATUS_LINE(0, "\r\n\0\tHTTP/1.1 200 OK\r\n", LENGTH, "answer"),
        SAME_LENGTHS(0, "HTTP/1.1 200 OK\r\n", LENGTH + LENGTH, "answer"),
        LIST_OF_LENGTHS(0, "HTTP/1.1 200 OK\r\n", "Content-Length: 6, 6\r\n", "answer"),
        TWO_LENGTHS(0, "HTTP/1.1 200 OK\r\n", LENGTH + "Content-Length: 5\r\n", "answer"),
        SIGNED_LENGTH(0, "HTTP/1.1 200 OK\r\n", "Content-Length: +6\r\n", "answer"),
        UNKNOWN_CODING(0, "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: xchunked\r\n", CHUNKED_BODY),
        TWO_CODINGS(
                0, "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked, identity\r\n", CHUNKED_BODY),
        STATUS_101(0, "HTTP/1.1 101 Switching\r\n", "Upgrade: x\r\nConnection: upgrade\r\n", ""),
        STATUS_102(0, "HTTP/1.1 102 Processing\r\n", "", ""),
        INTERIM_AND_FINAL(
                200, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", LENGTH, "answer"),
        INTERIM_JOINED(0, "HTTP/1.1 100 Continue\r\nHTTP/1.1 200 OK\r\n", LENGTH, "answer"),
        HINTS_JOINED(0, "HTTP/1.1 103 Hints\r\nHTTP/1.1 200 OK\r\n", LENGTH, "answer"),
        BODY_WITH_204(204, "HTTP/1.1 204 No Content\r\n", LENGTH, "answer"),
        BODY_WITH_304(304, "HTTP/1.1 304 Not Modified\r\n", LENGTH, "answer");

        private final int mStatus;
        private final String mStart;
        private final String mFields;
        private final String mBody;

        Form(int status, String start, String fields, String body) {
            mStatus = status;
            mStart = start;
            mFields = fields;
            mBody = body;
        }

        /** Returns the status that the client gets. */
        int status() {
            return mStatus == 0 ? BAD_GATEWAY : mStatus;
        }

        String bytes(String id) {
            String own =
                    "X-Fescuehollow-Attempt-Id: " + id + "\r\nX-Fescuehollow-Server-Seal: s\r\n";
            String head = mStart + mFields + own;
            return (this == BARE_LF ? head.replace("\r", "") + "\n" : head + "\r\n") + mBody;
        }
    }

    @BeforeAll
    void start() {
        mServer = mCluster.addScriptedServer("i-1", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterAll
    void close() {
        mCluster.close();
    }

    @ParameterizedTest
    @EnumSource(Form.class)
    void head_isThatOfTheEnginesResponseOrLost(Form form) {
        mServer.onRequest(r -> Answer.inOnePacket(form.bytes(r.id()), Ending.CLOSE));
        for (String path : List.of("/pay/", "/read/")) {
            HttpResponse<String> response = mCluster.call(0, path, form + path, "x");
            then(response.statusCode()).isEqualTo(form.status());
            if (response.statusCode() == 200) {
                then(response.body()).isEqualTo("answer");
            } else if (response.statusCode() != BAD_GATEWAY) {
                then(response.body()).isEmpty();
            }
        }
    }
}
