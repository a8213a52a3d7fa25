package org.fescuehollow.server;

import static org.assertj.core.api.BDDAssertions.then;

import java.net.http.HttpResponse;
import org.fescuehollow.server.platform.Json;
import org.fescuehollow.server.testsupport.OneNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class AtMostOnceTest {
    private static OneNode sNode;

    @BeforeAll
    static void open() {
        sNode = new OneNode(1);
    }

    @AfterAll
    static void close() {
        sNode.close();
    }

    @Test
    void ticket_runsOnceAndReplaysTheAnswer() {
        // GIVEN
        String ticket = sNode.caller().ticket();
        // WHEN
        HttpResponse<String> first = pay("/pay", "pay 1", ticket);
        HttpResponse<String> again = pay("/pay", "pay 1", ticket);
        // THEN
        then(again.body()).isEqualTo(first.body()).contains("pay 1");
        then(executed("pay 1")).isEqualTo(1);
    }

    @Test
    void ticket_whoseConnectionBrokeIsNeverRunAgain() {
        // GIVEN
        String ticket = sNode.caller().ticket();
        // WHEN
        HttpResponse<String> first = pay("/break", "pay 2", ticket);
        HttpResponse<String> again = pay("/break", "pay 2", ticket);
        // THEN
        then(first.body()).contains("\"ran\":\"outcome_unknown\"");
        then(again.body()).contains("\"ran\":\"outcome_unknown\"");
        then(executed("pay 2")).isEqualTo(1);
    }

    @Test
    void call_withoutAKeyIsNeverRepeated() {
        // WHEN
        HttpResponse<String> answer = pay("/break", "pay 3", "");
        // THEN
        then(answer.body()).contains("\"ran\":\"outcome_unknown\"");
        then(executed("pay 3")).isEqualTo(1);
    }

    @Test
    void key_thatIsNoTicketIsOfferedOne() {
        // WHEN
        HttpResponse<String> offered = pay("/pay", "pay 4", "my-own-key");
        String ticket = Json.read("problem", offered.body().getBytes()).path("ticket").asText();
        HttpResponse<String> paid = pay("/pay", "pay 4", ticket);
        // THEN
        then(offered.statusCode()).isEqualTo(428);
        then(offered.body()).contains("\"ran\":\"not_run\"");
        then(paid.statusCode()).isEqualTo(200);
        then(executed("pay 4")).isEqualTo(1);
    }

    @Test
    void ticket_withAnotherBodyIsRefused() {
        // GIVEN
        String ticket = sNode.caller().ticket();
        pay("/pay", "pay 5", ticket);
        // WHEN / THEN
        then(pay("/pay", "pay 5 more", ticket).statusCode()).isEqualTo(422);
        then(executed("pay 5 more")).isZero();
    }

    @Test
    void read_thatBreaksIsTriedAgain() {
        // WHEN
        HttpResponse<String> answer = sNode.caller().get("/services/bookings/break/slots");
        // THEN
        then(answer.statusCode()).isEqualTo(502);
        then(executed("")).isGreaterThan(1);
    }

    private static HttpResponse<String> pay(String path, String body, String ticket) {
        return sNode.caller().post("/services/bookings" + path, body, ticket);
    }

    private static int executed(String body) {
        return sNode.stands().bookings().executions(body);
    }
}
