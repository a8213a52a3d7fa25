package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;
import static org.fescuehollow.gateway.testsupport.PlainResponses.get;
import static org.fescuehollow.gateway.testsupport.PlainResponses.response;
import static org.fescuehollow.gateway.testsupport.PlainResponses.thenIsOfTheEngineOrAnError;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.fescuehollow.gateway.testsupport.PlainResponses;
import org.fescuehollow.gateway.testsupport.PlainResponses.Framing;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Request;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against servers that respond twice, the second time late: a client gets its server's own
 * response or an error of the gateway, and no request that ran counts as one that didn't.
 */
class RepeatedResponseTest {
    private static final String SEAL = "X-Fescuehollow-Server-Seal: w\r\n";
    private static final String ID = "X-Fescuehollow-Attempt-Id: ";

    /** A prime, so that repeated cuts fall on different parts of fields. */
    private static final int STEP = 29;

    private static final List<Framing> KEPT_FRAMINGS = List.of(Framing.LENGTH, Framing.CHUNKS);

    private final TestCluster mCluster = new TestCluster();
    private ScriptedServer mServer;

    /** What arrives before the response to the next request. */
    private enum Late {
        SUCCESS("200 OK", ""),
        FAILURE("500 Error", ""),
        BUSY("503 Busy", "X-Fescuehollow-Not-Executed: 1\r\nRetry-After: 1\r\n"),
        LIMITED("429 Busy", "X-Fescuehollow-Not-Executed: 1\r\n"),
        MISDIRECTED("421 Misdirected", "X-Fescuehollow-Not-Executed: 1\r\n");

        private final String mStatus;
        private final String mFields;

        Late(String status, String fields) {
            mStatus = status;
            mFields = fields;
        }

        /** Returns the bytes of a response to a request; without an id if it is empty. */
        String bytes(Framing framing, String id) {
            String idField = id.isEmpty() ? "" : ID + id + "\r\n";
            return framing.frame(
                    "HTTP/1.1 " + mStatus + "\r\n" + mFields + SEAL + idField, "late copy");
        }
    }

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

    private static Answer warm(Request request) {
        return Answer.inOnePacket(response(Framing.LENGTH, 200, request.id()), Ending.KEEP_OPEN);
    }

    /** Returns a refusal that doesn't pause its server. */
    private static String refusal(Late late, String id) {
        return late.bytes(Framing.LENGTH, id).replace("Retry-After: 1\r\n", "");
    }

    private boolean isFirstAttempt(Request request) {
        return mServer.requests().stream().filter(r -> r.id().equals(request.id())).count() == 1;
    }

    private void callOnAKeptConnection(String late, int status, Framing framing, String name) {
        mServer.onRequest(
                r ->
                        r.id().startsWith("warm")
                                ? warm(r)
                                : Answer.inOnePacket(
                                        (isFirstAttempt(r) ? late : "")
                                                + response(framing, status, r.id()),
                                        framing.ending()));
        call("/read/", "warm-" + name);
        call("/read/", "id-" + name);
    }

    private void call(String path, String id) {
        get(() -> mCluster.call(0, path, id, "x"))
                .ifPresent(r -> thenIsOfTheEngineOrAnError(r, id));
    }

    @ParameterizedTest
    @EnumSource(Late.class)
    void response_onAKeptConnectionIsNotThatOfACutCopy(Late late) {
        for (Framing framing : KEPT_FRAMINGS) {
            for (String id : List.of("warm", "")) {
                String bytes = late.bytes(framing, id);
                for (int cut : PlainResponses.cuts(bytes, STEP)) {
                    int status = cut % 2 == 0 ? 200 : 500;
                    String name = framing + id + cut;
                    callOnAKeptConnection(bytes.substring(0, cut), status, framing, name);
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Late.class)
    void response_onAKeptConnectionIsNotThatOfASpoiledCopy(Late late) {
        for (Framing framing : KEPT_FRAMINGS) {
            String bytes = late.bytes(framing, "warm");
            for (int i = 0; i < bytes.length(); i += STEP) {
                for (char c : new char[] {'\0', ' ', '\n', 'x'}) {
                    String spoiled = bytes.substring(0, i) + c + bytes.substring(i + 1);
                    callOnAKeptConnection(spoiled, 500, framing, framing + "-" + i + "-" + (int) c);
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void response_ofARetryIsNotJoinedWithTheOneBeforeIt(Framing framing) {
        String copy = Late.SUCCESS.bytes(Framing.LENGTH, "");
        for (int cut : PlainResponses.cuts(copy, STEP)) {
            mServer.onRequest(
                    r ->
                            isFirstAttempt(r)
                                    ? new Answer(
                                            List.of(
                                                    response(framing, 500, r.id()),
                                                    copy.substring(0, cut)),
                                            Ending.KEEP_OPEN)
                                    : Answer.inOnePacket(
                                            response(framing, 404, r.id()), framing.ending()));
            call("/read/", "id-" + cut);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Late.class,
            names = {"BUSY", "LIMITED", "MISDIRECTED"})
    void response_afterARefusalIsNotThatOfTheRefusedRequest(Late refusal) {
        for (int cut : PlainResponses.cuts(refusal(refusal, "i"), STEP)) {
            mServer.onRequest(
                    r -> {
                        String refused = refusal(refusal, r.id());
                        String late = refused.substring(0, Math.min(cut, refused.length()));
                        return isFirstAttempt(r) && r.id().startsWith("warm")
                                ? new Answer(List.of(refused, late), Ending.KEEP_OPEN)
                                : Answer.inOnePacket(
                                        response(Framing.LENGTH, 200, r.id()), Ending.KEEP_OPEN);
                    });
            get(() -> mCluster.call(0, "/read/", "warm-" + cut, "x"));
            call("/read/", "id-" + cut);
        }
    }

    @ParameterizedTest
    @EnumSource(Late.class)
    void response_onANewConnectionIsNotThatOfACopyForAnotherRequest(Late late) {
        for (String id : List.of("other", "")) {
            String bytes = late.bytes(Framing.LENGTH, id);
            int[] cuts = IntStream.range(0, bytes.length()).filter(i -> i % STEP == 1).toArray();
            Arrays.stream(cuts)
                    .forEach(
                            cut -> {
                                mServer.onRequest(
                                        r ->
                                                Answer.inOnePacket(
                                                        bytes.substring(0, cut)
                                                                + response(
                                                                        Framing.LENGTH,
                                                                        500,
                                                                        r.id()),
                                                        Ending.CLOSE));
                                call("/pay/", "pay-" + cut);
                            });
        }
    }

    @ParameterizedTest
    @EnumSource(Late.class)
    void response_thatRanIsNotToldToHaveNotRun(Late late) {
        for (String id : List.of("other", "")) {
            String copy = late.bytes(Framing.LENGTH, id);
            mServer.onRequest(
                    r ->
                            Answer.inOnePacket(
                                    copy + response(Framing.LENGTH, 200, r.id()), Ending.CLOSE));
            get(() -> mCluster.call(0, "/pay/", "pay-1" + id, "x"))
                    .ifPresent(r -> then(r.statusCode()).isNotIn(408, 421, 429, 503));
        }
    }
}
