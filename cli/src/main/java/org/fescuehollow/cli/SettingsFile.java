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

/** Reads settings files. Stateless and safe for use by any thread. */
final class SettingsFile {
    private SettingsFile() {}

    /**
     * Returns the content of a file.
     *
     * @throws FescuehollowException if the file can't be read
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

    /**
     * Returns the settings path under which a file is published.
     *
     * <p>This is the longest suffix of the file path, without its YAML extension, that is a valid
     * settings path; empty if there is none.
     */
    static Optional<String> publishedPath(Path file) {
        String name = file.toString().replace('\\', '/').replaceFirst("\\.ya?ml$", "");
        String[] parts = name.split("/");
        return IntStream.range(0, parts.length)
                .mapToObj(i -> String.join("/", Arrays.asList(parts).subList(i, parts.length)))
                .filter(p -> SettingsPath.of(p).isPresent())
                .findFirst();
    }
}
