package org.fescuehollow.gateway.calls;

import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;

/**
 * Serves the readiness check: whether this node takes new connections. Not thread-safe; used on the
 * node's event loop.
 */
public final class ReadinessService implements Service {
    /** The name of this service in the kernel. */
    public static final String NAME = "readiness";

    private static final int STATUS_READY = 200;
    private static final int STATUS_NOT_READY = 503;

    private final NodeContext mContext;
    private HttpServer mServer;
    private boolean mWasReady;

    /**
     * Creates the service.
     *
     * @param context the context of the node
     */
    public ReadinessService(NodeContext context) {
        mContext = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        FrontendService frontend = kernel.find(FrontendService.NAME, FrontendService.class);
        NodeSettings.Address address = mContext.settings().readinessAddress();
        mServer =
                mContext.vertx()
                        .createHttpServer(new HttpServerOptions())
                        .requestHandler(
                                request -> {
                                    boolean ready = frontend.isReady();
                                    logChange(ready);
                                    request.response()
                                            .setStatusCode(ready ? STATUS_READY : STATUS_NOT_READY)
                                            .end();
                                });
        mServer.listen(address.port(), address.host())
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private void logChange(boolean ready) {
        if (ready != mWasReady) {
            mWasReady = ready;
            mContext.log().event("readiness", "ready", ready);
        }
    }

    @Override
    public void stop() {
        mServer.close();
    }
}
