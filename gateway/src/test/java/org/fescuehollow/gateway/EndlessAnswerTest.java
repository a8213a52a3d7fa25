package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import org.fescuehollow.gateway.testsupport.EndlessServer;
import org.fescuehollow.gateway.testsupport.Site;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Servers in trouble send bytes that are no answer, without end, in a head or a body. */
class EndlessAnswerTest {
    private static final String CHUNK_WITHOUT_END = "7fffffff\r\n";

    private final Site mSite = new Site();

    @AfterEach
    void close() {
        mSite.close();
    }

    private void start() {
        mSite.configure(1);
        mSite.start(1);
    }

    private static String head(int status, String headers) {
        return "HTTP/1.1 " + status + " x\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String proof(String id) {
        return "X-Fescuehollow-Attempt-Id: " + id + "\r\nX-Fescuehollow-Server-Seal: s\r\n";
    }

    @Test
    void head_withoutEndFailsTheRequestAndClosesTheConnection() {
        EndlessServer server = mSite.endlessServer("i-1", "plain", "HTTP/1.1 200 OK\r\nX-Junk: ");
        start();
        then(mSite.call(0, "/pay/", "id-1", "x").statusCode()).isEqualTo(502);
        Site.await(() -> server.closed() == server.reached());
    }

    @Test
    void bytes_thatAreNoAnswerLetARepeatableRequestGoElsewhere() {
        EndlessServer server = mSite.endlessServer("i-1", "plain", "");
        mSite.server("i-2", "plain");
        start();
        for (int i = 0; i < 4; i++) {
            then(mSite.call(0, "/read/", "id-" + i, "x").body()).isEqualTo("answer of i-2 to x");
        }
        Site.await(() -> server.closed() == server.reached());
    }

    @Test
    void body_withoutProofFailsTheRequestAndClosesTheConnection() {
        String begin = head(200, "") + CHUNK_WITHOUT_END;
        EndlessServer server = mSite.endlessServer("i-1", "plain", begin);
        start();
        then(mSite.call(0, "/pay/", "id-1", "x").statusCode()).isEqualTo(502);
        Site.await(() -> server.closed() == server.reached());
    }

    @Test
    void event_withoutEndBreaksTheStreamOff() {
        // GIVEN the one engine, which streams an event without an end
        String begin = head(200, proof("id-1")) + CHUNK_WITHOUT_END + "id: 1\ndata: ";
        EndlessServer server = mSite.endlessServer("i-1", "llm", begin);
        start();
        // WHEN a request of the base model is streamed
        // THEN it ends, long before its deadline, and looks incomplete
        thenThrownBy(() -> then(mSite.callModel("m", "id-1").statusCode()).isEqualTo(200))
                .isInstanceOfAny(IllegalStateException.class, AssertionError.class);
        Site.await(() -> server.closed() > 0);
    }

    @Test
    void report_withoutEndHarmsNoOtherEngine() {
        String begin = head(200, "") + CHUNK_WITHOUT_END;
        EndlessServer server = mSite.endlessServer("i-1", "llm", begin);
        mSite.server("i-2", "llm");
        start();
        Site.await(() -> server.closed() > 0);
        Site.await(() -> mSite.call(0, "/chat/", "id", "x").statusCode() == 200);
    }
}
