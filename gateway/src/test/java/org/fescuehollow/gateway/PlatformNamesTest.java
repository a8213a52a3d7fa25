package org.fescuehollow.gateway;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Names that the users' platform defines may occur in the platform module only. */
class PlatformNamesTest {
    private static final List<String> PLATFORM_NAMES =
            List.of("X-Fescuehollow", "kv-range", "kv-watch", "seq-no", "Kv-From", "op/config");

    @ParameterizedTest
    @ValueSource(strings = {"core", "gateway", "server", "cli"})
    void module_containsNoPlatformName(String module) {
        Path sources = Path.of("..", module, "src", "main", "java");
        then(sources).isDirectory();
        try (Stream<Path> files = Files.walk(sources)) {
            then(files.filter(f -> f.toString().endsWith(".java")))
                    .isNotEmpty()
                    .allSatisfy(f -> then(read(f)).doesNotContain(PLATFORM_NAMES));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
