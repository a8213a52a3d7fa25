package org.fescuehollow.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.error.Problem;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.settings.SettingsParser;

/**
 * Validates settings files before they are published.
 *
 * <p>Not safe for concurrent use.
 */
final class CheckCommand {
    private final PrintStream mOut;
    private final PrintStream mErr;

    CheckCommand(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
    }

    int run(List<String> files) {
        long invalidFiles = files.stream().filter(f -> !isValid(f)).count();
        return invalidFiles == 0 ? 0 : 1;
    }

    private boolean isValid(String file) {
        try {
            String text = SettingsFile.read(Path.of(file));
            Optional<String> path = SettingsFile.publishedPath(Path.of(file));
            if (path.isPresent()) {
                parsePublished(file, path.get(), text);
            } else {
                NodeConfig.parse(file, text);
            }
            mOut.println(
                    file
                            + ": ok, "
                            + path.map(p -> "published as " + p).orElse("a node's settings"));
            return true;
        } catch (FescuehollowException e) {
            mErr.println(e.getMessage());
            return false;
        }
    }

    private static void parsePublished(String file, String path, String text) {
        try {
            SettingsParser.parse(path, text);
        } catch (FescuehollowException e) {
            Problem p = e.problem();
            String detail =
                    p.detail().replaceFirst(Pattern.quote(path), Matcher.quoteReplacement(file));
            throw new FescuehollowException(Problem.of(p.code(), p.runState(), detail, p.remedy()));
        }
    }
}
