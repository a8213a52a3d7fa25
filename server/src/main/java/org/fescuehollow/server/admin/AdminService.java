package org.fescuehollow.server.admin;

import static org.fescuehollow.error.ShouldBeAllowedTarget.shouldBeAllowedTarget;
import static org.fescuehollow.error.ShouldHaveKnownApiKey.shouldHaveKnownApiKey;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.kernel.Service;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.front.FrontService;
import org.fescuehollow.server.front.ProblemWriter;
import org.fescuehollow.server.loop.HttpPort;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.membership.MembershipService;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.platform.Json;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.settings.KeyHash;

/**
 * The operators' HTTP port: health, metrics and the state dump.
 *
 * <p>Invariant: nothing here changes any state. Used on the node's loop.
 */
public final class AdminService implements Service {
    /** The name under which other services find this one. */
    public static final String NAME = "admin";

    private static final Logger LOG = System.getLogger(AdminService.class.getName());

    private final NodeConfig mConfig;
    private final NodeLoop mLoop;
    private final Metrics mMetrics;
    private Kernel mKernel;
    private HttpPort mPort;

    /**
     * Creates the service.
     *
     * @param config the process's settings
     * @param loop the node's loop
     * @param metrics the process's metrics
     */
    public AdminService(NodeConfig config, NodeLoop loop, Metrics metrics) {
        mConfig = config;
        mLoop = loop;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        mKernel = kernel;
        mPort = HttpPort.open(mLoop, mConfig.admin(), new HttpServerOptions(), this::handle);
        LOG.log(Level.INFO, "operators' port open at " + port());
    }

    /**
     * Returns the port that operators use.
     *
     * @return the port bound
     */
    public int port() {
        return mPort.number();
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/healthz" -> text(request, 200, "alive");
            case "/readyz" -> ready(request);
            default -> guarded(request);
        }
    }

    private void guarded(HttpServerRequest request) {
        if (!isOperator(request)) {
            ProblemWriter.answer(request.response(), shouldHaveKnownApiKey(), "");
            return;
        }
        try {
            answer(request);
        } catch (FescuehollowException e) {
            ProblemWriter.answer(request.response(), e.problem(), "");
        }
    }

    private void answer(HttpServerRequest request) {
        Optional<AdminRoute> route = AdminRoute.of(request.path());
        if (route.isPresent()) {
            json(request, route.get().answer(new AdminView(mKernel, mConfig), request));
            return;
        }
        switch (request.path()) {
            case "/metrics" -> text(request, 200, mMetrics.text());
            case "/dump" -> json(request, dumpAll());
            case "/openapi.json" -> json(request, Json.read("openapi", Resources.openApi()));
            case "/v1/trial" -> request.body().onSuccess(body -> trial(request, body));
            default -> throw new FescuehollowException(shouldBeAllowedTarget(request.path()));
        }
    }

    private void trial(HttpServerRequest request, Buffer body) {
        try {
            String path = request.getParam("path", "");
            json(request, new AdminView(mKernel, mConfig).trial(path, body.toString()));
        } catch (FescuehollowException e) {
            ProblemWriter.answer(request.response(), e.problem(), "");
        }
    }

    private static void json(HttpServerRequest request, Object body) {
        request.response().putHeader("Content-Type", "application/json").end(Json.write(body));
    }

    private boolean isOperator(HttpServerRequest request) {
        String header = request.getHeader("Authorization");
        return mConfig.operatorKeyHash()
                .map(
                        hash ->
                                header != null
                                        && header.startsWith("Bearer ")
                                        && KeyHash.areEqual(
                                                KeyHash.of(header.substring(7)),
                                                hash.toLowerCase(Locale.ROOT)))
                .orElse(true);
    }

    private void ready(HttpServerRequest request) {
        SettingsService settings = mKernel.find(SettingsService.NAME, SettingsService.class);
        boolean ready =
                mKernel.find(FrontService.NAME, FrontService.class).isOpen()
                        && mKernel.find(MembershipService.NAME, MembershipService.class).isSettled()
                        && !settings.view().services().isEmpty();
        text(request, ready ? 200 : 503, ready ? "ready" : "not ready");
    }

    private static void text(HttpServerRequest request, int status, String body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                .end(body);
    }

    private SortedMap<String, Object> dumpAll() {
        SortedMap<String, Object> out = new TreeMap<>(mKernel.dump());
        out.put("node", mConfig.nodeId());
        out.put("failure_domain", mConfig.domain());
        return out;
    }

    @Override
    public void stop() {
        mPort.close();
    }
}
