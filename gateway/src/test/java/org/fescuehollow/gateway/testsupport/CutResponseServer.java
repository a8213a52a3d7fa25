package org.fescuehollow.gateway.testsupport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server that sends the first bytes of a response and closes the connection, in order or by a
 * reset. Each connection first serves a given number of requests with complete responses.
 */
public final class CutResponseServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(CutResponseServer.class.getName());
    private static final Pattern ID =
            Pattern.compile("x-fescuehollow-attempt-id: *([^\r\n]+)", Pattern.CASE_INSENSITIVE);

    /** Long enough for the bytes to be read before the reset. */
    private static final int RESET_DELAY_MILLIS = 5;

    /** What the server sends to a request, and how it closes the connection. */
    public record Cut(UnaryOperator<String> response, boolean reset) {}

    private final ServerSocket mServer;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger mCuts = new AtomicInteger();
    private final AtomicInteger mReused = new AtomicInteger();
    private volatile Cut mCut;
    private volatile int mCompleteFirst;

    CutResponseServer() {
        try {
            mServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        startThread(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Sets how the server cuts its responses. */
    public void setCut(Cut cut) {
        mCut = cut;
    }

    /** Sets how many complete responses each new connection has first. */
    public void setCompleteFirst(int count) {
        mCompleteFirst = count;
    }

    /** Returns the number of responses that were cut. */
    public int cuts() {
        return mCuts.get();
    }

    /** Returns the number of responses that were cut on a connection that was used before. */
    public int cutsOnUsedConnections() {
        return mReused.get();
    }

    /** Returns a complete response to the request with the given id. */
    public static String complete(String id) {
        String body = "complete answer to " + id;
        return "HTTP/1.1 200 OK\r\nX-Fescuehollow-Attempt-Id: "
                + id
                + "\r\nX-Fescuehollow-Server-Seal: seal\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException e) {
                LOG.log(System.Logger.Level.DEBUG, "accept", e);
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            for (int i = 0; i < mCompleteFirst; i++) {
                String id = readRequest(socket.getInputStream());
                write(socket, complete(id));
            }
            String id = readRequest(socket.getInputStream());
            Cut cut = mCut;
            write(socket, cut.response().apply(id));
            mCuts.incrementAndGet();
            mReused.addAndGet(mCompleteFirst > 0 ? 1 : 0);
            if (cut.reset()) {
                Thread.sleep(RESET_DELAY_MILLIS);
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "connection ended", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a request, which has a body of one byte, and returns its id. */
    private static String readRequest(InputStream in) throws IOException {
        StringBuilder received = new StringBuilder();
        while (!received.toString().matches("(?s).*\r\n\r\n.")) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("closed");
            }
            received.append((char) c);
        }
        Matcher id = ID.matcher(received);
        return id.find() ? id.group(1) : "";
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket s : mSockets) {
            s.close();
        }
    }
}
