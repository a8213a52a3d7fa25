package org.fescuehollow.gateway.training;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Reads the documents of the training run. Stateless and safe for use by any thread. */
final class TrainingResources {
    private TrainingResources() {}

    static String read(String name) {
        try (InputStream in = TrainingResources.class.getResourceAsStream("/training/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read resource " + name, e);
        }
    }
}
