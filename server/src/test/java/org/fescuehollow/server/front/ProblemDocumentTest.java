package org.fescuehollow.server.front;

import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswerCompletely;
import static org.fescuehollow.error.ShouldBeAllowedTarget.shouldBeAllowedTarget;
import static org.fescuehollow.error.ShouldHaveCapacity.shouldHaveCapacity;
import static org.fescuehollow.error.ShouldHaveKnownApiKey.shouldHaveKnownApiKey;
import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldNotBeInProgress;
import static org.fescuehollow.error.ShouldUseUniqueIdempotencyKey.shouldUseTicket;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.fescuehollow.error.Problem;
import org.junit.jupiter.api.Test;

@UseReporter(QuietReporter.class)
class ProblemDocumentTest {
    @Test
    void write_keepsTheFormThatCallersRelyOn() {
        // GIVEN
        List<Problem> problems =
                List.of(
                        shouldHaveKnownApiKey(),
                        shouldBeAllowedTarget("answers@v1"),
                        shouldHaveCapacity("loket-kern", "its queue is full", 3),
                        shouldUseTicket("t1.n1.life.0.seal"),
                        shouldNotBeInProgress(),
                        shouldAnswerCompletely("the connection broke"));
        // WHEN
        String documents =
                problems.stream()
                        .map(p -> ProblemWriter.write(p, "request-1").toJsonObject())
                        .map(JsonObject::encodePrettily)
                        .collect(Collectors.joining("\n"));
        // THEN
        Approvals.verify(documents);
    }
}
