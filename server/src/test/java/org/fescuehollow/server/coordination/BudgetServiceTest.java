package org.fescuehollow.server.coordination;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.loop.NodeLoop;
import org.fescuehollow.server.metrics.Metrics;
import org.fescuehollow.server.peer.PeerService;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.server.testsupport.Await;
import org.fescuehollow.standins.Deployment;
import org.fescuehollow.standins.EngineOptions;
import org.junit.jupiter.api.Test;

class BudgetServiceTest {
    @Test
    void share_isSetThoughSettingsAndListCameBeforeTheStart() {
        try (Deployment stands = Deployment.open(1, EngineOptions.DEFAULT, 5)) {
            // GIVEN
            NodeConfig config = NodeConfig.parse("test", stands.nodeYaml());
            Vertx vertx = Vertx.vertx();
            NodeLoop loop = new NodeLoop(vertx);
            Metrics metrics = new Metrics();
            HttpClient client = vertx.createHttpClient();
            SettingsService settings = new SettingsService(config, loop, client, metrics);
            FleetService fleet = new FleetService(config, loop, client, metrics);
            BudgetService budget = new BudgetService(config, loop);
            Kernel early = Kernel.of(settings, fleet, new PeerService(config, loop));
            early.start();
            Await.until(
                    () ->
                            fleet.view().vms().revision() > 0
                                    && settings.store().paths().containsKey("store"));
            // WHEN
            budget.start(early);
            // THEN
            Await.until(() -> budget.bank().share().inTransit() == 8);
            budget.stop();
            early.stop();
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
