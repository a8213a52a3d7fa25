package org.fescuehollow.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * Base class of the stand-ins: an HTTP server on a loopback port that the system chooses.
 *
 * <p>Open and close it from one thread at a time, which must not be an event loop; requests are
 * handled on one event loop.
 */
public abstract class StandInServer implements AutoCloseable {
    private final Vertx mVertx;
    private HttpServer mServer;
    private int mPort;

    /**
     * Creates a stand-in without opening its port.
     *
     * @param vertx the Vert.x instance that runs the event loop
     */
    protected StandInServer(Vertx vertx) {
        mVertx = vertx;
    }

    /**
     * Handles a request after its body has been read.
     *
     * @param request the request
     * @param body the request body
     */
    protected abstract void handle(HttpServerRequest request, Buffer body);

    /** Opens the port and waits until it listens; a reopened stand-in keeps its port. */
    public void open() {
        mServer =
                mVertx.createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(mPort))
                        .requestHandler(r -> r.body().onSuccess(b -> handle(r, b)));
        join(mServer.listen());
        mPort = mServer.actualPort();
    }

    /** Closes the port and all connections and waits until they are closed. */
    @Override
    public void close() {
        if (mServer != null) {
            join(mServer.close());
            mServer = null;
        }
    }

    /** Closes the port and all connections without waiting. */
    protected void closeAsync() {
        if (mServer != null) {
            mServer.close();
            mServer = null;
        }
    }

    private static void join(Future<?> future) {
        future.toCompletionStage().toCompletableFuture().join();
    }

    /**
     * Returns the port.
     *
     * @return the bound port; 0 before the first opening
     */
    public int port() {
        return mPort;
    }

    /**
     * Returns the base URL.
     *
     * @return the URL without a trailing slash
     */
    public String url() {
        return "http://127.0.0.1:" + mPort;
    }

    /**
     * Returns the Vert.x instance.
     *
     * @return the instance that runs the event loop
     */
    protected Vertx vertx() {
        return mVertx;
    }

    /**
     * Sends a JSON response.
     *
     * @param request the request
     * @param status the HTTP status code
     * @param body the response body
     */
    protected static void sendJson(HttpServerRequest request, int status, JsonObject body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }
}
