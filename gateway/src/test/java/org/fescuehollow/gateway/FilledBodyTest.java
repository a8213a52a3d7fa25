package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body that contains bytes of a second response. */
class FilledBodyTest {
    private static final String BODY = "0123456789".repeat(40);

    private final TestCluster mCluster = new TestCluster();
    private ScriptedServer mServer;

    @BeforeEach
    void start() {
        mServer = mCluster.addScriptedServer("i-1", "plain");
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    @AfterEach
    void close() {
        mCluster.close();
    }

    private static String response(String id) {
        return "HTTP/1.1 200 OK\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: "
                + id
                + "\r\nContent-Length: "
                + BODY.length()
                + "\r\n\r\n"
                + BODY;
    }

    private Optional<HttpResponse<String>> call(String path, String id) {
        try {
            return Optional.of(mCluster.call(0, path, id, "x"));
        } catch (IllegalStateException e) {
            then(e).hasCauseInstanceOf(IOException.class);
            return Optional.empty();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/pay/"})
    void response_thatIsCutInItsBodyIsNotFilledUpWithItsCopy(String path) {
        mServer.onRequest(
                r -> {
                    String whole = response(r.id());
                    String cut = whole.substring(0, whole.length() - 100);
                    return new Answer(List.of(cut, whole), Ending.CLOSE);
                });
        call(path, "id-1")
                .filter(r -> r.statusCode() == 200)
                .ifPresent(r -> then(r.body()).isEqualTo(BODY));
    }

    private static String chunked(String id) {
        return response(id)
                .replace(
                        "Content-Length: 400\r\n\r\n" + BODY,
                        "Transfer-Encoding: chunked\r\n\r\n190\r\n" + BODY + "\r\n0\r\n\r\n");
    }

    @Test
    void response_thatIsCutInAChunkIsNotFilledUpWithItsCopy() {
        for (int missing = 1; missing <= 200; missing++) {
            int left = missing;
            mServer.onRequest(
                    r -> {
                        String whole = chunked(r.id());
                        String cut = whole.substring(0, whole.length() - left);
                        return Answer.inOnePacket(cut + whole, Ending.CLOSE);
                    });
            call("/pay/", "id-" + missing)
                    .filter(r -> r.statusCode() == 200)
                    .ifPresent(r -> then(r.body()).as("%d missing", left).isEqualTo(BODY));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 17, 100, 1_000})
    void response_thatEndsWithItsConnectionDoesNotContainALateCopy(int copyLength) {
        mServer.onRequest(
                r -> {
                    String whole = response(r.id());
                    String unframed = whole.replace("Content-Length: 400\r\n", "");
                    String copy = whole.substring(0, Math.min(copyLength, whole.length()));
                    return new Answer(List.of(unframed, copy), Ending.CLOSE);
                });
        call("/read/", "id-1")
                .filter(r -> r.statusCode() == 200)
                .ifPresent(r -> then(r.body()).isEqualTo(BODY));
    }
}
