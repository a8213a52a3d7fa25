package org.fescuehollow.server.loop;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.fescuehollow.server.config.ListenAddress;

/**
 * An open HTTP port whose requests are handled on the node's loop.
 *
 * <p>Opened and closed from one thread that is no event loop.
 */
public final class HttpPort {
    private final NodeLoop mLoop;
    private final HttpServer mServer;

    private HttpPort(NodeLoop loop, HttpServer server) {
        mLoop = loop;
        mServer = server;
    }

    /**
     * Opens a port.
     *
     * @param loop the node's loop
     * @param address where to listen
     * @param options everything else about the server
     * @param handler takes the requests
     * @return the open port
     */
    public static HttpPort open(
            NodeLoop loop,
            ListenAddress address,
            HttpServerOptions options,
            Handler<HttpServerRequest> handler) {
        options.setHost(address.host()).setPort(address.port());
        return new HttpPort(
                loop,
                loop.await(
                        () ->
                                loop.vertx()
                                        .createHttpServer(options)
                                        .requestHandler(handler)
                                        .listen()));
    }

    /**
     * Returns the port's number.
     *
     * @return the port bound
     */
    public int number() {
        return mServer.actualPort();
    }

    /** Closes the port and all its connections. */
    public void close() {
        mLoop.await(() -> mServer.close());
    }
}
