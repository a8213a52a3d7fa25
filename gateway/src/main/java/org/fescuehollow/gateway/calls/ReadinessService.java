package org.fescuehollow.gateway.calls;

import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.fescuehollow.gateway.node.NodeContext;
import org.fescuehollow.gateway.node.NodeSettings;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;

/** Answers whether this node takes new connections. Used on the node's loop. */
public final class ReadinessService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "readiness";

    private static final int READY = 200;
    private static final int NOT_READY = 503;

    private final NodeContext mNode;
    private HttpServer mServer;
    private boolean mWasReady;

    /**
     * Creates the service.
     *
     * @param node the node
     */
    public ReadinessService(NodeContext node) {
        mNode = node;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        FrontService front = kernel.find(FrontService.NAME, FrontService.class);
        NodeSettings.Address address = mNode.settings().readiness();
        mServer =
                mNode.vertx()
                        .createHttpServer(new HttpServerOptions())
                        .requestHandler(
                                r -> {
                                    boolean ready = front.isReady();
                                    note(ready);
                                    r.response().setStatusCode(ready ? READY : NOT_READY).end();
                                });
        mServer.listen(address.port(), address.host())
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private void note(boolean ready) {
        if (ready != mWasReady) {
            mWasReady = ready;
            mNode.log().line("readiness", "ready", ready);
        }
    }

    @Override
    public void stop() {
        mServer.close();
    }
}
