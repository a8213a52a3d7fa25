package org.fescuehollow.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * An HTTP server on a loopback port chosen by the system, base of all stand-ins.
 *
 * <p>Start and stop are called from one thread that is no event loop; requests are handled on one
 * event loop.
 */
public abstract class StandInServer implements AutoCloseable {
    private final Vertx mVertx;
    private HttpServer mServer;
    private int mPort;

    /**
     * Creates a stand-in, not yet started.
     *
     * @param vertx runs its event loop
     */
    protected StandInServer(Vertx vertx) {
        mVertx = vertx;
    }

    /**
     * Handles a request whose body has been read.
     *
     * @param request the request
     * @param body its body
     */
    protected abstract void handle(HttpServerRequest request, Buffer body);

    /** Opens the port; a stand-in that is opened again keeps its port. */
    public void open() {
        mServer =
                mVertx.createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(mPort))
                        .requestHandler(r -> r.body().onSuccess(b -> handle(r, b)));
        join(mServer.listen());
        mPort = mServer.actualPort();
    }

    /** Closes the port and breaks all connections. */
    @Override
    public void close() {
        if (mServer != null) {
            join(mServer.close());
            mServer = null;
        }
    }

    /** Closes the port and breaks all connections, without waiting. */
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
     * @return the port bound
     */
    public int port() {
        return mPort;
    }

    /**
     * Returns the base URL.
     *
     * @return without a slash at its end
     */
    public String url() {
        return "http://127.0.0.1:" + mPort;
    }

    /**
     * Returns the Vert.x instance.
     *
     * @return runs the event loop
     */
    protected Vertx vertx() {
        return mVertx;
    }

    /**
     * Answers with JSON.
     *
     * @param request the request
     * @param status the status
     * @param body the body
     */
    protected static void sendJson(HttpServerRequest request, int status, JsonObject body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }
}
