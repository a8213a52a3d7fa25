package org.fescuehollow.server;

import static org.assertj.core.api.Assertions.catchThrowable;
import static org.assertj.core.api.Assertions.fail;
import static org.assertj.core.api.BDDAssertions.then;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.fescuehollow.server.testsupport.Caller;
import org.fescuehollow.server.testsupport.OneNode;
import org.fescuehollow.standins.EngineStandIn;
import org.junit.jupiter.api.Test;

class WholeAnswersTest {
    @Test
    void streams_thatCrossEachGetTheirOwnWholeAnswer() {
        try (OneNode node = new OneNode(2)) {
            // GIVEN
            List<String> models = List.of("care-notes@v1", "care-notes@v2", "profiles@v1");
            List<String> expected =
                    IntStream.range(0, 90)
                            .mapToObj(i -> models.get(i % 3) + " visit " + i)
                            .toList();
            // WHEN
            List<HttpResponse<String>> answers =
                    IntStream.range(0, 90)
                            .mapToObj(
                                    i -> node.caller().chat(models.get(i % 3), "visit " + i, true))
                            .toList()
                            .stream()
                            .map(CompletableFuture::join)
                            .toList();
            // THEN
            then(answers).allMatch(a -> a.body().endsWith("data: [DONE]\n\n"));
            then(answers).extracting(a -> Caller.words(a.body())).isEqualTo(expected);
            then(node.stands().engines()).allMatch(e -> e.violations().isEmpty());
        }
    }

    @Test
    void stream_thatBreaksNeverLooksComplete() {
        try (OneNode node = new OneNode(1)) {
            // WHEN
            Throwable thrown =
                    catchThrowable(
                            () ->
                                    fail(
                                            node.caller()
                                                            .chat(
                                                                    "care-notes@v1",
                                                                    "a !break b",
                                                                    true)
                                                            .join()
                                                            .body()
                                                    + node.dump()));
            // THEN
            then(thrown).as(thrown.getMessage()).isInstanceOf(CompletionException.class);
            then(thrown.getCause()).isInstanceOf(IOException.class);
        }
    }

    @Test
    void answer_thatBreaksIsAProblemThatSaysWhetherItRan() {
        try (OneNode node = new OneNode(1)) {
            // WHEN
            HttpResponse<String> answer =
                    node.caller().chat("care-notes@v1", "a !break b", false).join();
            // THEN
            then(answer.statusCode()).isEqualTo(502);
            then(answer.body()).contains("\"ran\":\"outcome_unknown\"");
        }
    }

    @Test
    void calls_surviveAnEngineThatRestartsEmpty() {
        try (OneNode node = new OneNode(2)) {
            // GIVEN
            node.caller().chat("care-notes@v1", "before", false).join();
            node.stands().engines().forEach(EngineStandIn::restartEmpty);
            // WHEN
            HttpResponse<String> answer =
                    node.caller().chat("care-notes@v1", "after", false).join();
            // THEN
            then(answer.statusCode()).as(answer.body()).isEqualTo(200);
            then(answer.body()).contains("care-notes@v1 after");
        }
    }
}
