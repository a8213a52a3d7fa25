package org.fescuehollow.cli;

import java.io.PrintStream;
import java.util.Arrays;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fescuehollow.bench.capacity.CapacityBench;
import org.fescuehollow.bench.cost.OverheadBench;
import org.fescuehollow.bench.policy.PolicyBench;

/**
 * The subcommands of the command line, with their arguments. Immutable and safe for use by any
 * thread.
 */
enum Command {
    /** Runs an entry process. */
    SERVE("serve", "run an entry process until it receives a termination signal") {
        @Override
        void configure(Subparser parser) {
            parser.addArgument("--config")
                    .required(true)
                    .help("YAML file with the settings of the process");
        }

        @Override
        int run(Namespace options, PrintStream out, PrintStream err) {
            return new ServeCommand(out).run(options.getString("config"));
        }
    },
    /** Validates settings files. */
    CHECK("check", "check settings files before they are published") {
        @Override
        void configure(Subparser parser) {
            parser.addArgument("file")
                    .nargs("+")
                    .help("settings files under teams/ or services/, or the settings of a node");
        }

        @Override
        int run(Namespace options, PrintStream out, PrintStream err) {
            return new CheckCommand(out, err).run(options.getList("file"));
        }
    },
    /** Sends example requests through an entry process to stand-ins. */
    DEMO("demo", "run an entry process with stand-ins and send it requests") {
        @Override
        void configure(Subparser parser) {
            parser.addArgument("--once")
                    .action(Arguments.storeTrue())
                    .help("exit after the requests, with a non-zero code if a response was wrong");
        }

        @Override
        int run(Namespace options, PrintStream out, PrintStream err) {
            return new DemoCommand(out).run(options.getBoolean("once"));
        }
    },
    /** Runs one of the benchmarks. */
    BENCH(
            "bench",
            "measure the placement policy, the resources of each role, or the latency overhead") {
        @Override
        void configure(Subparser parser) {
            parser.addArgument("what")
                    .choices("policy", "capacity", "cost")
                    .help("what to measure");
            parser.addArgument("--size")
                    .choices("today", "all")
                    .setDefault("today")
                    .help(
                            "today: both current deployments; all: also the size expected in two"
                                    + " years");
        }

        @Override
        int run(Namespace options, PrintStream out, PrintStream err) {
            if (options.getString("what").equals("capacity")) {
                new CapacityBench(out).run();
                return 0;
            }
            if (options.getString("what").equals("cost")) {
                new OverheadBench(out).run();
                return 0;
            }
            PolicyBench bench = new PolicyBench(out);
            if (options.getString("size").equals("all")) {
                bench.runAll();
            } else {
                bench.runToday();
            }
            return 0;
        }
    },
    /** Prints the state of a process. */
    DUMP("dump", "print the state of a running process as JSON") {
        @Override
        void configure(Subparser parser) {
            addAdminArguments(parser);
        }

        @Override
        int run(Namespace options, PrintStream out, PrintStream err) {
            return queryAdminApi(options, out, "/dump", true);
        }
    },
    /** Prints the main indicators of a process. */
    STATUS("status", "show rejected or stalled requests, unreachable servers and delayed updates") {
        @Override
        void configure(Subparser parser) {
            addAdminArguments(parser);
            parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        }

        @Override
        int run(Namespace options, PrintStream out, PrintStream err) {
            return queryAdminApi(options, out, "/v1/status", options.getBoolean("json"));
        }
    },
    /** Explains how a request is routed. */
    EXPLAIN("explain", "explain which backend server a request is routed to") {
        @Override
        void configure(Subparser parser) {
            addAdminArguments(parser);
            parser.addArgument("--team").required(true).help("the team that sends the request");
            parser.addArgument("--model").required(true).help("adapter@version");
            parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        }

        @Override
        int run(Namespace options, PrintStream out, PrintStream err) {
            String query =
                    "?team=" + options.getString("team") + "&model=" + options.getString("model");
            return queryAdminApi(options, out, "/v1/explain" + query, options.getBoolean("json"));
        }
    };

    private static void addAdminArguments(Subparser parser) {
        parser.addArgument("--admin")
                .required(true)
                .help("host and port of the administration API, HOST:PORT");
        parser.addArgument("--key")
                .setDefault("")
                .help("key of the administration API, if one is set");
    }

    private static int queryAdminApi(
            Namespace options, PrintStream out, String path, boolean json) {
        return new StatusCommand(out)
                .run(options.getString("admin"), options.getString("key"), path, json);
    }

    private final String mName;
    private final String mHelp;

    Command(String name, String help) {
        mName = name;
        mHelp = help;
    }

    static Command fromName(String name) {
        return Arrays.stream(values()).filter(c -> c.mName.equals(name)).findFirst().orElseThrow();
    }

    String commandName() {
        return mName;
    }

    String help() {
        return mHelp;
    }

    abstract void configure(Subparser parser);

    abstract int run(Namespace options, PrintStream out, PrintStream err);
}
