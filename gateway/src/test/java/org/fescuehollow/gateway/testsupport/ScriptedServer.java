package org.fescuehollow.gateway.testsupport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** A server that answers each request with exactly the bytes that a test gives it. */
public final class ScriptedServer {
    private static final Pattern ID = header("x-fescuehollow-attempt-id");
    private static final Pattern LAST_EVENT_ID = header("last-event-id");

    /** Long enough for packets to arrive one by one. */
    private static final int PACKET_GAP_MILLIS = 3;

    /** What the server does once it has sent an answer. */
    public enum Ending {
        KEEP_OPEN,
        CLOSE
    }

    /** A request that the server received; the last event id is empty if there was none. */
    public record Request(String id, String lastEventId) {}

    /** The bytes of an answer, as they are split into packets, and what follows them. */
    public record Answer(List<String> packets, Ending ending) {
        public static Answer inOnePacket(String bytes, Ending ending) {
            return new Answer(List.of(bytes), ending);
        }

        public static Answer inPacketsOf(int size, String bytes, Ending ending) {
            return new Answer(
                    IntStream.range(0, (bytes.length() + size - 1) / size)
                            .mapToObj(
                                    i ->
                                            bytes.substring(
                                                    i * size,
                                                    Math.min(bytes.length(), (i + 1) * size)))
                            .toList(),
                    ending);
        }
    }

    private final Vertx mVertx;
    private final NetServer mServer;
    private final List<Request> mRequests = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger mOpenAnswers = new AtomicInteger();
    private final AtomicInteger mConnections = new AtomicInteger();
    private volatile Function<Request, Answer> mScript = r -> Answer.inOnePacket("", Ending.CLOSE);

    ScriptedServer(Vertx vertx, boolean resetsOnClose) {
        mVertx = vertx;
        NetServerOptions options = new NetServerOptions().setTcpNoDelay(true);
        mServer =
                vertx.createNetServer(resetsOnClose ? options.setSoLinger(0) : options)
                        .connectHandler(this::onConnection);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    private static Pattern header(String name) {
        return Pattern.compile("\r\n" + name + ": *([^\r\n]*)", Pattern.CASE_INSENSITIVE);
    }

    int port() {
        return mServer.actualPort();
    }

    /** Sets how requests are answered. */
    public void onRequest(Function<Request, Answer> script) {
        mScript = script;
    }

    /** Returns the requests received so far, without those for orders and reports. */
    public List<Request> requests() {
        return List.copyOf(mRequests);
    }

    /** Returns whether all packets of all answers were sent, or could not be. */
    public boolean isIdle() {
        return mOpenAnswers.get() == 0;
    }

    /** Returns how many connections there were so far, without those for orders and reports. */
    public int connections() {
        return mConnections.get();
    }

    private void onConnection(NetSocket socket) {
        boolean[] counted = new boolean[1];
        StringBuilder received = new StringBuilder();
        socket.exceptionHandler(e -> socket.close());
        socket.handler(
                b -> {
                    received.append(b.toString(StandardCharsets.ISO_8859_1));
                    Matcher id = ID.matcher(received);
                    // Requests of the tests have a body of one byte after the blank line.
                    if (id.find() && received.toString().matches("(?s).*\r\n\r\n.")) {
                        Matcher last = LAST_EVENT_ID.matcher(received);
                        Request request =
                                new Request(id.group(1), last.find() ? last.group(1) : "");
                        received.setLength(0);
                        mRequests.add(request);
                        mConnections.addAndGet(counted[0] ? 0 : 1);
                        counted[0] = true;
                        mOpenAnswers.incrementAndGet();
                        send(socket, mScript.apply(request), 0);
                    }
                });
    }

    private void send(NetSocket socket, Answer answer, int packet) {
        if (packet < answer.packets().size()) {
            String bytes = answer.packets().get(packet);
            socket.write(Buffer.buffer(bytes.getBytes(StandardCharsets.ISO_8859_1)))
                    .onComplete(
                            v ->
                                    mVertx.setTimer(
                                            PACKET_GAP_MILLIS,
                                            t -> send(socket, answer, packet + 1)));
            return;
        }
        mOpenAnswers.decrementAndGet();
        if (answer.ending() != Ending.KEEP_OPEN) {
            socket.close();
        }
    }
}
