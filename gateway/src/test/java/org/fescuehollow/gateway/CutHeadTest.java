package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.fescuehollow.gateway.testsupport.CutResponseServer;
import org.fescuehollow.gateway.testsupport.EngineStandIn;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Engines that stop within the head of a response and close the connection: nobody gets an answer
 * that looks complete.
 */
class CutHeadTest {
    private static final int GATEWAY_ERROR = 502;

    /** The length of the ids of requests, so that all heads have the same length. */
    private static final String ID_FORMAT = "id-%06d";

    private final TestCluster mCluster = new TestCluster();
    private CutResponseServer mServer;
    private int mCalls;

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mCluster.close();
    }

    private void start(String service) {
        mServer = mCluster.addCutResponseServer("i-1", service);
        mCluster.configure(1);
        mCluster.startNodes(1);
    }

    private Optional<HttpResponse<String>> call(String path) {
        String id = String.format(ID_FORMAT, mCalls++);
        try {
            return Optional.of(
                    path.equals("/talk/") || path.equals("/chat/")
                            ? mCluster.callBaseModel(path, id)
                            : mCluster.call(0, path, id, "x"));
        } catch (IllegalStateException e) {
            then(e).hasCauseInstanceOf(IOException.class);
            return Optional.empty();
        }
    }

    private static String head(int status, String id, String framing) {
        return "HTTP/1.1 "
                + status
                + " Reason\r\n"
                + framing
                + "X-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: seal\r\n"
                + "X-Long: value of a header\r\n\r\n";
    }

    /** Cuts the head after each number of bytes, and calls once for each. */
    private void thenNoCutHeadIsDelivered(String path, int status, boolean reset) {
        for (String framing :
                List.of("", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n")) {
            int length = head(status, String.format(ID_FORMAT, 0), framing).length();
            for (int cut = 0; cut < length; cut++) {
                int bytes = cut;
                UnaryOperator<String> response =
                        id -> head(status, id, framing).substring(0, bytes);
                mServer.setCut(new CutResponseServer.Cut(response, reset));
                then(call(path).map(HttpResponse::statusCode).orElse(GATEWAY_ERROR))
                        .as("%s cut after %d bytes of %s", path, cut, framing)
                        .isEqualTo(GATEWAY_ERROR);
            }
        }
        then(mServer.cuts()).isGreaterThanOrEqualTo(mCalls);
    }

    @ParameterizedTest
    @CsvSource({
        "/pay/, 200, false", "/pay/, 200, true", "/pay/, 404, false", "/pay/, 500, true",
        "/read/, 200, false", "/read/, 200, true", "/read/, 500, false", "/read/, 404, true"
    })
    void head_thatIsCutIsNoResponse(String path, int status, boolean reset) {
        start("plain");
        thenNoCutHeadIsDelivered(path, status, reset);
    }

    @ParameterizedTest
    @CsvSource({
        "/talk/, 200, false", "/talk/, 200, true", "/talk/, 500, false", "/talk/, 400, true",
        "/chat/, 200, false", "/chat/, 200, true", "/chat/, 500, true", "/chat/, 400, false"
    })
    void head_thatIsCutIsNoStream(String path, int status, boolean reset) {
        start("llm");
        thenNoCutHeadIsDelivered(path, status, reset);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void head_thatIsCutOnAUsedConnectionIsNoResponse(boolean reset) {
        start("plain");
        mServer.setCompleteFirst(1);
        int length = head(200, String.format(ID_FORMAT, 0), "Content-Length: 5\r\n").length();
        for (int cut = 0; cut < length; cut++) {
            int bytes = cut;
            UnaryOperator<String> response =
                    id -> head(200, id, "Content-Length: 5\r\n").substring(0, bytes);
            mServer.setCut(new CutResponseServer.Cut(response, reset));
            // One call opens the connection, and one uses it again.
            for (int i = 0; i < 2; i++) {
                call("/read/")
                        .filter(r -> r.statusCode() == 200)
                        .ifPresent(r -> then(r.body()).startsWith("complete answer to id-"));
            }
        }
        then(mServer.cutsOnUsedConnections()).isGreaterThan(length / 2);
    }

    @Test
    void head_thatIsCutIsRetriedElsewhere() {
        EngineStandIn other = mCluster.addServer("i-2", "plain");
        start("plain");
        int length = head(200, String.format(ID_FORMAT, 0), "").length();
        for (int cut = 0; cut < length; cut++) {
            int bytes = cut;
            mServer.setCut(
                    new CutResponseServer.Cut(
                            id -> head(200, id, "").substring(0, bytes), cut % 2 == 0));
            call("/read/")
                    .filter(r -> r.statusCode() != GATEWAY_ERROR)
                    .ifPresent(r -> then(r.body()).isEqualTo("answer of i-2 to x"));
        }
        then(other.receivedRequests()).isNotEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "/pay/, ''",
        "/pay/, short",
        "/read/, ''",
        "/read/, short",
    })
    void body_withoutALengthThatEndsByAResetIsIncomplete(String path, String body) {
        start("plain");
        for (int status : new int[] {200, 404, 500}) {
            mServer.setCut(new CutResponseServer.Cut(id -> head(status, id, "") + body, true));
            for (int i = 0; i < 20; i++) {
                then(call(path).map(HttpResponse::statusCode).orElse(GATEWAY_ERROR))
                        .isEqualTo(GATEWAY_ERROR);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "/pay/, ''",
        "/pay/, short",
        "/read/, ''",
        "/read/, short",
    })
    void body_withoutALengthThatEndsByACloseIsComplete(String path, String body) {
        start("plain");
        mServer.setCut(new CutResponseServer.Cut(id -> head(200, id, "") + body, false));
        then(call(path).map(HttpResponse::body)).hasValue(body);
    }

    @ParameterizedTest
    @CsvSource({
        "/pay/, false",
        "/pay/, true",
        "/read/, false",
        "/read/, true",
    })
    void body_thatIsShorterThanItsLengthIsIncomplete(String path, boolean reset) {
        start("plain");
        for (String framing : List.of("Content-Length: 99\r\n", "Transfer-Encoding: chunked\r\n")) {
            for (String body : List.of("", "4", "4\r", "4\r\nab", "4\r\nabcd", "4\r\nabcd\r\n")) {
                mServer.setCut(
                        new CutResponseServer.Cut(id -> head(200, id, framing) + body, reset));
                then(call(path).map(HttpResponse::statusCode).orElse(GATEWAY_ERROR))
                        .as("%s%s", framing, body)
                        .isEqualTo(GATEWAY_ERROR);
            }
        }
    }

    @Test
    void informationalResponse_withoutAFinalOneIsNoResponse() {
        start("plain");
        for (String start : List.of("100 Continue", "103 Early Hints", "102 Processing")) {
            mServer.setCut(
                    new CutResponseServer.Cut(id -> "HTTP/1.1 " + start + "\r\n\r\n", false));
            then(call("/pay/").map(HttpResponse::statusCode).orElse(GATEWAY_ERROR))
                    .as(start)
                    .isEqualTo(GATEWAY_ERROR);
        }
    }
}
