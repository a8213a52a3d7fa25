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
 * The command line's entry point.
 *
 * <p>Exit codes: 0 done, 1 a check or a request failed, 2 the command line or a file is wrong.
 */
public final class Main {
    /** Exit code of a command line or file that is wrong. */
    static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        int code = run(args, System.out, System.err);
        System.out.flush();
        System.exit(code);
    }

    /**
     * Runs a command.
     *
     * @param args the command line
     * @param out for results
     * @param err for errors
     * @return the exit code
     */
    static int run(String[] args, PrintStream out, PrintStream err) {
        ArgumentParser parser =
                ArgumentParsers.newFor("fescuehollow")
                        .build()
                        .description("A serving layer for very many LoRA adapters.")
                        .epilog("Exit codes: 0 done, 1 failed, 2 wrong command line or file.");
        Subparsers commands = parser.addSubparsers().title("commands").dest("command");
        for (Command c : Command.values()) {
            c.configure(commands.addParser(c.commandName()).help(c.help()));
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
