package org.fescuehollow.server.front;

import static org.fescuehollow.error.ShouldAnswerWhole.shouldAnswerWhole;
import static org.fescuehollow.error.ShouldCarryKnownKey.shouldCarryKnownKey;
import static org.fescuehollow.error.ShouldFindCapacity.shouldFindCapacity;
import static org.fescuehollow.error.ShouldKeepKeyUnique.shouldAwaitOutcome;
import static org.fescuehollow.error.ShouldKeepKeyUnique.shouldUseTicket;
import static org.fescuehollow.error.ShouldNameAllowedTarget.shouldNameAllowedTarget;

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
                        shouldCarryKnownKey(),
                        shouldNameAllowedTarget("answers@v1"),
                        shouldFindCapacity("loket-kern", "its queue is full", 3),
                        shouldUseTicket("t1.n1.life.0.seal"),
                        shouldAwaitOutcome(),
                        shouldAnswerWhole("the connection broke"));
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
