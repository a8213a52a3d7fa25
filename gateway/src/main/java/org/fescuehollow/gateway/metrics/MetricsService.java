package org.fescuehollow.gateway.metrics;

import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.store.CatalogService;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;

/**
 * Serves the metrics and a dump of the node's state over HTTP. Not thread-safe; used on the node's
 * event loop.
 */
public final class MetricsService implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "metrics";

    /** The port of the HTTP server, as in the deployment file. */
    public static final int PORT = 9464;

    private final NodeContext mContext;
    private HttpServer mServer;
    private Kernel mKernel;

    /**
     * Creates the service.
     *
     * @param context the context of the node
     */
    public MetricsService(NodeContext context) {
        mContext = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mKernel = kernel;
        mServer =
                mContext.vertx()
                        .createHttpServer(new HttpServerOptions())
                        .requestHandler(this::onRequest);
        // A failure is only logged: the node can serve requests without this port.
        mServer.listen(PORT, mContext.settings().ip())
                .onFailure(
                        e -> mContext.log().event("metrics_port_failed", "cause", e.getMessage()));
    }

    private void onRequest(HttpServerRequest request) {
        if (request.path().equals("/dump")) {
            Map<String, Object> dump = mKernel.dump();
            request.response().end(new JsonObject(dump).encodePrettily());
        } else {
            mKernel.find(CatalogService.NAME, CatalogService.class).updateGauges();
            mContext.metrics().setState("log_lines_dropped", mContext.log().droppedLines());
            request.response()
                    .putHeader("Content-Type", "text/plain; version=0.0.4")
                    .end(mContext.metrics().prometheusText());
        }
    }

    @Override
    public void stop() {
        mServer.close();
    }
}
