package org.fescuehollow.cli;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the command line in this process and verifies exit codes and output. */
class CommandLineTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    static Stream<Path> examples() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("..", "examples"))) {
            return files.filter(f -> f.toString().endsWith(".yaml")).toList().stream();
        }
    }

    @ParameterizedTest
    @MethodSource("examples")
    void check_acceptsExampleFiles(Path example) {
        then(run("check", example.toString())).as(mErr.toString()).isZero();
    }

    @Test
    void check_reportsFileAndLineOfInvalidSetting(@TempDir Path dir) throws IOException {
        // GIVEN
        Path file = dir.resolve("teams/a/traffic.yaml");
        Files.createDirectories(file.getParent());
        Files.writeString(file, "weight: 1\npriority: urgent\n");
        // WHEN
        int code = run("check", file.toString());
        // THEN
        then(code).isEqualTo(1);
        then(mErr.toString()).contains("traffic.yaml:2:", "priority");
    }

    @Test
    void command_unknownExitsWithUsageError() {
        then(run("prove")).isEqualTo(2);
        then(mErr.toString()).contains("prove");
    }

    @Test
    void serve_unreadableFileExitsWithUsageError() {
        then(run("serve", "--config", "no-such-file.yaml")).isEqualTo(2);
        then(mErr.toString()).contains("no-such-file.yaml", "invalid_settings");
    }

    @Test
    void demo_onceReturnsExpectedResponses() {
        then(run("demo", "--once")).as(mOut.toString()).isZero();
        then(mOut.toString()).contains("care-notes@v2", "refused").doesNotContain("false");
    }

    private int run(String... args) {
        return Main.run(args, new PrintStream(mOut, true), new PrintStream(mErr, true));
    }
}
