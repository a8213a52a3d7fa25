import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and client over plain sockets. */
final class Http1 {
    private Http1() {}

    /** The start line, headers and body of a message. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String method() {
            return startLine.split(" ")[0];
        }

        String uri() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles the requests of one connection in turn. */
    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** A connection of a client or server. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Connection open(String host, int port, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            return new Connection(socket);
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Sends a response with a length. */
        void respond(int status, Map<String, String> headers, String body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            write(head + "Content-Length: " + length + "\r\n\r\n" + body);
        }

        /** Sends a request with a length. */
        void request(String method, String uri, Map<String, String> headers, String body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            write(head + "Content-Length: " + length + "\r\n\r\n" + body);
        }

        /** Reads a message without its body. */
        Message readHead() throws IOException {
            String start = readLine();
            Map<String, String> headers = new TreeMap<>();
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            return new Message(start, headers, new byte[0]);
        }

        /** Reads a whole message. */
        Message read() throws IOException {
            Message head = readHead();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                for (byte[] chunk = readChunk(); chunk.length > 0; chunk = readChunk()) {
                    body.write(chunk);
                }
            } else if (!head.header("content-length").isEmpty()) {
                body.write(readBytes(Integer.parseInt(head.header("content-length"))));
            }
            return new Message(head.startLine(), head.headers(), body.toByteArray());
        }

        /** Reads a chunk; the last one is empty. */
        byte[] readChunk() throws IOException {
            int size = Integer.parseInt(readLine().split(";")[0].trim(), 16);
            byte[] chunk = readBytes(size);
            readLine();
            return chunk;
        }

        private byte[] readBytes(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) {
                throw new EOFException("body is incomplete");
            }
            return bytes;
        }

        private String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new EOFException("connection closed");
                }
                if (b != '\r') {
                    line.append((char) b);
                }
            }
            return line.toString();
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The peer has closed it already.
            }
        }
    }

    /** A server with a thread for each connection. */
    static final class Server {
        private final ServerSocket mSocket;
        private final Handler mHandler;

        Server(String ip, Handler handler) throws IOException {
            mSocket = new ServerSocket(0, 1_024, InetAddress.getByName(ip));
            mHandler = handler;
            thread(this::accept);
        }

        int port() {
            return mSocket.getLocalPort();
        }

        private void accept() {
            while (!mSocket.isClosed()) {
                try {
                    Connection connection = new Connection(mSocket.accept());
                    thread(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try (connection) {
                while (!connection.socket.isClosed()) {
                    Message request = connection.read();
                    mHandler.handle(request, connection);
                    if (request.header("connection").equalsIgnoreCase("close")) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The client has closed the connection.
            }
        }

        void close() throws IOException {
            mSocket.close();
        }
    }

    static void thread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }
}
