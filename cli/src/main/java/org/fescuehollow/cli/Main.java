package org.fescuehollow.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.FescuehollowException;

/**
 * Entry point of the command line.
 *
 * <p>Exit codes: 0 success, 1 a check or request failed, 2 invalid command line or settings file.
 */
public final class Main {
    /** Exit code for an invalid command line or settings file. */
    static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs a command and exits with its exit code.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        int code = run(args, System.out, System.err);
        System.out.flush();
        System.exit(code);
    }

    /**
     * Runs a command.
     *
     * @param args the command-line arguments
     * @param out receives results
     * @param err receives error messages
     * @return the exit code
     */
    static int run(String[] args, PrintStream out, PrintStream err) {
        ArgumentParser parser =
                ArgumentParsers.newFor("fescuehollow")
                        .build()
                        .description("A serving layer for large numbers of LoRA adapters.")
                        .epilog(
                                "Exit codes: 0 success, 1 failure, 2 invalid command line or"
                                        + " settings file.");
        Subparsers commands = parser.addSubparsers().title("commands").dest("command");
        for (Command command : Command.values()) {
            command.configure(commands.addParser(command.commandName()).help(command.help()));
        }
        try {
            Namespace options = parser.parseArgs(args);
            return Command.fromName(options.getString("command")).run(options, out, err);
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(err, true));
            return EXIT_USAGE;
        } catch (FescuehollowException e) {
            err.println("fescuehollow: " + e.getMessage());
            return e.problem().code() == ErrorCode.INVALID_SETTINGS ? EXIT_USAGE : 1;
        }
    }
}
