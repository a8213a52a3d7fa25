package org.fescuehollow.server;

import static org.assertj.core.api.BDDAssertions.then;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import org.fescuehollow.server.admin.AdminRoute;
import org.fescuehollow.server.platform.Json;
import org.fescuehollow.server.testsupport.Caller;
import org.fescuehollow.server.testsupport.OneNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AdminApiTest {
    private static OneNode sNode;

    @BeforeAll
    static void open() {
        sNode = new OneNode(1);
    }

    @AfterAll
    static void close() {
        sNode.close();
    }

    @ParameterizedTest
    @EnumSource(AdminRoute.class)
    void route_isDescribedAndAnswers(AdminRoute route) {
        // GIVEN
        JsonNode described = Json.read("openapi", get("/openapi.json").body().getBytes());
        // WHEN
        HttpResponse<String> answer = get(route.path() + "?team=rennes-pets&model=care-notes@v1");
        // THEN
        then(described.path("paths").has(route.path())).isTrue();
        then(answer.statusCode()).as(answer.body()).isEqualTo(200);
        then(Json.read("answer", answer.body().getBytes())).isNotNull();
    }

    @Test
    void explain_namesEnginesAndCoordinator() {
        then(get("/v1/explain?team=rennes-pets&model=care-notes@v1").body())
                .contains("\"allowed\":true", "engine-1 in rennes, coordinated by rennes-1");
        then(get("/v1/explain?team=brest-pets&model=care-notes@v1").body())
                .contains("\"allowed\":false")
                .doesNotContain("engine-1");
    }

    @Test
    void trial_tellsWhatWouldBeLostAndChangesNothing() {
        // GIVEN
        String change = "keys: []\nadapters: [{name: profiles, versions: [v1], service: nowhere}]";
        // WHEN
        HttpResponse<String> answer = post("/v1/trial?path=teams/rennes-pets/access", change);
        // THEN
        then(answer.body())
                .contains("\"adapters_no_longer_callable\":[\"care-notes@v1\",\"care-notes@v2\"]")
                .contains("\"services_unknown\":[\"nowhere\"]");
        then(sNode.caller().get("/v1/models").body()).contains("care-notes@v1");
    }

    @Test
    void trial_refusesWhatWouldBeRefused() {
        // WHEN
        HttpResponse<String> answer = post("/v1/trial?path=store", "loads_per_second: many");
        // THEN
        then(answer.statusCode()).isEqualTo(422);
        then(answer.body()).contains("store:1", "\"code\":\"invalid_settings\"");
    }

    private static HttpResponse<String> get(String path) {
        return new Caller(sNode.server().adminPort(), "").get(path);
    }

    private static HttpResponse<String> post(String path, String body) {
        return new Caller(sNode.server().adminPort(), "").post(path, body, "");
    }
}
