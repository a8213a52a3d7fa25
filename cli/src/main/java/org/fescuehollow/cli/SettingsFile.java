package org.fescuehollow.cli;

import static org.fescuehollow.error.ShouldBeValidSettings.shouldBeValidSettings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.IntStream;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.settings.SettingsPath;

/** Reads files of settings. Stateless and safe for use by any thread. */
final class SettingsFile {
    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @throws FescuehollowException if it can't be read
     */
    static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new FescuehollowException(
                    shouldBeValidSettings(
                            file.toString(), 0, "expected a readable file, got " + e));
        }
    }

    /** Finds the published path that a file holds the value of: the longest end that is one. */
    static Optional<String> publishedPath(Path file) {
        String name = file.toString().replace('\\', '/').replaceFirst("\\.ya?ml$", "");
        String[] parts = name.split("/");
        return IntStream.range(0, parts.length)
                .mapToObj(i -> String.join("/", Arrays.asList(parts).subList(i, parts.length)))
                .filter(p -> SettingsPath.of(p).isPresent())
                .findFirst();
    }
}
