package org.fescuehollow.server.backend;

import static org.fescuehollow.error.ShouldAnswerCompletely.shouldAnswerCompletely;

import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.server.platform.Json;

/** Checks that an answer comes from the adapter that was asked for. Stateless, thread-safe. */
final class ModelCheck {
    private ModelCheck() {}

    /**
     * Requires that the {@code model} member, if there is one, names the adapter.
     *
     * @throws FescuehollowException if it names another
     */
    static void requireModel(String model, byte[] json) {
        String actual;
        try {
            actual = Json.read("answer", json).path("model").asText("");
        } catch (FescuehollowException e) {
            throw new FescuehollowException(
                    shouldAnswerCompletely("it is no JSON: " + e.problem().detail()));
        }
        if (!actual.isEmpty() && !actual.equals(model)) {
            throw new FescuehollowException(
                    shouldAnswerCompletely("it comes from " + actual + " in place of " + model));
        }
    }
}
