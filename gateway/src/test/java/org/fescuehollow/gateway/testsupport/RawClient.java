package org.fescuehollow.gateway.testsupport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of one request that reads only as much of the response as a test asks for. */
public final class RawClient implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 30_000;

    private final Socket mSocket;

    private RawClient(Socket socket) {
        mSocket = socket;
    }

    /** Sends a request to a port of the first node. */
    public static RawClient send(int port, String request) {
        try {
            Socket socket = new Socket("127.0.0.1", port);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new RawClient(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads bytes, fewer if the connection ends before. */
    public String read(int bytes) {
        try {
            return new String(mSocket.getInputStream().readNBytes(bytes), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
