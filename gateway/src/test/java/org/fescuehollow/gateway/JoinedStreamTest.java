package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fescuehollow.gateway.testsupport.PlainResponses.Framing;
import org.fescuehollow.gateway.testsupport.ScriptedServer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Answer;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Ending;
import org.fescuehollow.gateway.testsupport.ScriptedServer.Request;
import org.fescuehollow.gateway.testsupport.TestCluster;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against streams and failures that are joined from two responses of an engine that responds
 * twice: the copy is cut off or has wrong bytes, and the response to the next request follows it.
 */
class JoinedStreamTest {
    private static final int EVENTS = 4;
    private static final int OK = 200;
    private static final int CUT_STEP = 149;
    private static final int SPOIL_STEP = 401;

    /** Statuses that promise that the request did not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private static final TestCluster CLUSTER = new TestCluster();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static List<ScriptedServer> sEngines;

    private final List<String> mUnsound = new ArrayList<>();
    private int mCalls;

    /** What the copy is a copy of. */
    private enum Copy {
        ID_FIRST(200, "X-Fescuehollow-Attempt-Id: warm\r\nX-Fescuehollow-Server-Seal: w\r\n"),
        ID_LAST(200, "X-Fescuehollow-Server-Seal: w\r\nX-Fescuehollow-Attempt-Id: warm\r\n"),
        NO_ID(200, "X-Fescuehollow-Server-Seal: w\r\n"),
        REFUSAL(503, "X-Fescuehollow-Not-Executed: 1\r\nRetry-After: 0.1\r\n"),
        FAILURE(404, "Server: x\r\nX-Fescuehollow-Attempt-Id: warm\r\n");

        private final int mStatus;
        private final String mFields;

        Copy(int status, String fields) {
            mStatus = status;
            mFields = fields;
        }

        String bytes(Framing framing) {
            String head = "HTTP/1.1 " + mStatus + " Reason\r\nContent-Type: text/event-stream\r\n";
            return framing.frame(
                    head + mFields, mStatus == OK ? events("warm", 1, EVENTS) : "not run");
        }

        /** Returns what is received of the copy: all faults, and the whole copy. */
        List<String> faulty(Framing framing) {
            String bytes = bytes(framing);
            int offset = framing.ordinal() * 5 + ordinal() * 3;
            return Stream.concat(
                            Stream.of(Fault.values()).flatMap(f -> f.apply(bytes, offset)),
                            Stream.of(bytes))
                    .distinct()
                    .toList();
        }
    }

    /** What is wrong with a copy; each returns the bytes that are received of it. */
    private enum Fault {
        CUT(CUT_STEP, (bytes, at) -> bytes.substring(0, at)),
        CUT_AFTER_A_LINE_END(CUT_STEP, (bytes, at) -> toLineEnd(bytes, at)),
        CONTROL_CHARACTER(SPOIL_STEP, (bytes, at) -> spoil(bytes, at, '\u0001')),
        NO_ASCII(SPOIL_STEP, (bytes, at) -> spoil(bytes, at, '\u00fe')),
        SPACE(SPOIL_STEP, (bytes, at) -> spoil(bytes, at, ' ')),
        SPOILED_AND_CUT(SPOIL_STEP, (bytes, at) -> spoil(bytes, at / 2, '\u0002').substring(0, at));

        private final int mStep;
        private final BiFunction<String, Integer, String> mEdit;

        Fault(int step, BiFunction<String, Integer, String> edit) {
            mStep = step;
            mEdit = edit;
        }

        private static String toLineEnd(String bytes, int at) {
            return bytes.substring(0, bytes.indexOf('\n', Math.min(at, bytes.length() - 3)) + 1);
        }

        private static String spoil(String bytes, int at, char c) {
            return bytes.substring(0, at) + c + bytes.substring(at + 1);
        }

        Stream<String> apply(String bytes, int offset) {
            return IntStream.iterate(
                            1 + offset % mStep, at -> at < bytes.length(), at -> at + mStep)
                    .mapToObj(at -> mEdit.apply(bytes, at));
        }
    }

    @AfterAll
    static void close() {
        CLUSTER.close();
    }

    private static String events(String id, int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(i -> "id: " + i + "\ndata: " + id + " " + i + "\n\n")
                .reduce("", String::concat);
    }

    private static String head(int status, String id) {
        return "HTTP/1.1 "
                + status
                + " Reason\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: "
                + id
                + "\r\n";
    }

    private static String body(int status, Request request) {
        int last = request.lastEventId().isEmpty() ? 0 : Integer.parseInt(request.lastEventId());
        return status == OK
                ? events(request.id(), last + 1, EVENTS)
                : status + " for " + request.id();
    }

    private static String response(Framing framing, int status, Request request) {
        return framing.frame(head(status, request.id()), body(status, request));
    }

    @BeforeAll
    static void start() {
        sEngines =
                List.of(
                        CLUSTER.addScriptedServer("i-1", "llm"),
                        CLUSTER.addScriptedServer("i-2", "llm"));
        sEngines.forEach(e -> e.onRequest(JoinedStreamTest::sound));
        CLUSTER.bounds(new JsonObject().put("retrySlack", 100_000));
        CLUSTER.configure(1);
        CLUSTER.startNodes(1);
        TestCluster.await(() -> CLUSTER.stream("/chat/", "warm").complete());
        // Sound streams show that ids count events.
        IntStream.range(0, 10).forEach(i -> CLUSTER.stream("/chat/", "warm-" + i));
    }

    private static Answer sound(Request request) {
        return Answer.inOnePacket(response(Framing.CHUNKS, OK, request), Ending.KEEP_OPEN);
    }

    private static boolean isWarmUp(Request request) {
        return request.id().startsWith("warm");
    }

    private static int failure(Framing framing, Copy copy) {
        return (framing.ordinal() + copy.ordinal()) % 2 == 0 ? 404 : 500;
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Framing.values())
                .flatMap(
                        f ->
                                Stream.of(Copy.values())
                                        .flatMap(
                                                c ->
                                                        Stream.of(OK, failure(f, c))
                                                                .map(s -> Arguments.of(f, c, s))));
    }

    /** What the client received; the status is 0 without a head, the seal empty without one. */
    private record Received(
            int status, String seal, Set<String> names, String body, boolean complete) {}

    private static Received receive(String path, String id) {
        URI uri = URI.create("http://127.0.0.1:" + CLUSTER.listenPort() + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .headers(
                                "X-Fescuehollow-Attempt-Id",
                                id,
                                "X-Fescuehollow-Deadline-Ms",
                                "3000",
                                "X-Fescuehollow-Model",
                                "m",
                                "X-Fescuehollow-Token-Usage",
                                "100,10")
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .timeout(Duration.ofSeconds(5))
                        .build();
        try {
            HttpResponse<InputStream> response =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofInputStream());
            return readBody(response);
        } catch (IOException e) {
            return new Received(0, "", Set.of(), e.toString(), false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static Received readBody(HttpResponse<InputStream> response) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try (InputStream in = response.body()) {
            for (int b = in.read(); b >= 0; b = in.read()) {
                body.write(b);
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Received(
                response.statusCode(),
                response.headers().firstValue("X-Fescuehollow-Server-Seal").orElse(""),
                response.headers().map().keySet(),
                body.toString(StandardCharsets.ISO_8859_1),
                complete);
    }

    /**
     * Returns whether a client may receive this if the engine answered with a status, after another
     * engine had sent the first events of the stream, or none.
     */
    private static boolean isSound(Received received, int status, String id, boolean started) {
        if (received.seal().isEmpty()) {
            return received.status() == 0
                    || received.status() >= 500 && !NOT_RUN.contains(received.status());
        }
        if (!received.seal().equals(id) || received.names().contains("content-type")) {
            return false;
        }
        if (received.status() == OK && (status == OK || started)) {
            int events = (int) received.body().lines().filter(String::isEmpty).count();
            return received.body().equals(events(id, 1, events))
                    && (!received.complete() || status == OK && events == EVENTS);
        }
        String body = status + " for " + id;
        return received.status() == status
                && (received.complete()
                        ? received.body().equals(body)
                        : body.startsWith(received.body()));
    }

    private void thenIsSound(Received received, int status, String id, boolean started) {
        mCalls++;
        if (!isSound(received, status, id, started)) {
            mUnsound.add("status " + status + " of " + id + " became " + received);
        }
    }

    private void thenAllAreSound() {
        then(mUnsound).as("of %s responses", mCalls).isEmpty();
    }

    private static void script(Function<Request, Answer> script) {
        sEngines.forEach(e -> e.onRequest(script));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void stream_onAKeptConnectionIsNotJoinedWithACopy(Framing framing, Copy copy, int status) {
        for (String late : copy.faulty(framing)) {
            // GIVEN a connection on which a copy of the last response came late
            script(
                    r ->
                            isWarmUp(r)
                                    ? new Answer(
                                            List.of(response(Framing.CHUNKS, OK, r), late),
                                            Ending.KEEP_OPEN)
                                    : Answer.inOnePacket(
                                            response(framing, status, r), framing.ending()));
            receive("/chat/", "warm");
            TestCluster.await(() -> sEngines.stream().allMatch(ScriptedServer::isIdle));
            // WHEN the connection is used again
            String id = "id-" + mCalls;
            Received received = receive("/chat/", id);
            // THEN the client gets events or a failure of its own run only
            thenIsSound(received, status, id, false);
        }
        thenAllAreSound();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void stream_onANewConnectionIsNotJoinedWithACopy(Framing framing, Copy copy, int status) {
        for (String early : copy.faulty(framing)) {
            script(r -> Answer.inOnePacket(early + response(framing, status, r), framing.ending()));
            String id = "id-" + mCalls;
            thenIsSound(receive("/talk/", id), status, id, false);
        }
        thenAllAreSound();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void stream_atASecondEngineIsNotJoinedWithACopy(Framing framing, Copy copy, int status) {
        for (String early : copy.faulty(framing)) {
            // GIVEN a stream that breaks off, or is refused, at the first engine
            boolean refused = mCalls % 2 == 0;
            Set<String> ids = ConcurrentHashMap.newKeySet();
            script(
                    r ->
                            ids.add(r.id())
                                    ? first(refused, r)
                                    : Answer.inOnePacket(
                                            early + response(framing, status, r),
                                            framing.ending()));
            // WHEN the second one sends a copy before its response
            String id = "id-" + mCalls;
            Received received = receive("/chat/", id);
            // THEN the client gets events or a failure of its own run only
            thenIsSound(received, status, id, !refused);
        }
        thenAllAreSound();
    }

    private static Answer first(boolean refused, Request request) {
        if (refused) {
            return Answer.inOnePacket(
                    "HTTP/1.1 503 Full\r\nX-Fescuehollow-Attempt-Id: "
                            + request.id()
                            + "\r\nX-Fescuehollow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    Ending.KEEP_OPEN);
        }
        String head = head(OK, request.id()) + "Content-Length: 1000\r\n\r\n";
        return Answer.inOnePacket(head + events(request.id(), 1, 2), Ending.CLOSE);
    }
}
