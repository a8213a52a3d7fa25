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

/** Serves metrics and a dump of the node's state. Used on the node's loop. */
public final class MetricsService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "metrics";

    /** The port named in the deployment file. */
    public static final int PORT = 9464;

    private final NodeContext mNode;
    private HttpServer mServer;
    private Kernel mKernel;

    /**
     * Creates the service.
     *
     * @param node the node
     */
    public MetricsService(NodeContext node) {
        mNode = node;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mKernel = kernel;
        mServer =
                mNode.vertx()
                        .createHttpServer(new HttpServerOptions())
                        .requestHandler(this::answer);
        // Requests don't depend on this port; a node without it serves all the same.
        mServer.listen(PORT, mNode.settings().ip())
                .onFailure(e -> mNode.log().line("metrics_port_failed", "cause", e.getMessage()));
    }

    private void answer(HttpServerRequest request) {
        if (request.path().equals("/dump")) {
            Map<String, Object> dump = mKernel.dump();
            request.response().end(new JsonObject(dump).encodePrettily());
        } else {
            mKernel.find(CatalogService.NAME, CatalogService.class).updateGauges();
            mNode.metrics().state("log_lines_dropped", mNode.log().dropped());
            request.response()
                    .putHeader("Content-Type", "text/plain; version=0.0.4")
                    .end(mNode.metrics().text());
        }
    }

    @Override
    public void stop() {
        mServer.close();
    }
}
