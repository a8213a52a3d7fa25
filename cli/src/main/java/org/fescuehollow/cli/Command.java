package org.fescuehollow.cli;

import java.io.PrintStream;
import java.util.Arrays;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fescuehollow.bench.capacity.CapacityBench;
import org.fescuehollow.bench.cost.OverheadBench;
import org.fescuehollow.bench.policy.PolicyBench;

/** The commands of the command line. Immutable and safe for use by any thread. */
enum Command {
    /** Runs an entry process. */
    SERVE("serve", "run an entry process until it is told to stop") {
        @Override
        void configure(Subparser p) {
            p.addArgument("--config").required(true).help("the process's settings, YAML");
        }

        @Override
        int run(Namespace o, PrintStream out, PrintStream err) {
            return new ServeCommand(out).run(o.getString("config"));
        }
    },
    /** Checks settings files. */
    CHECK("check", "check settings files before they are published") {
        @Override
        void configure(Subparser p) {
            p.addArgument("file").nargs("+").help("files under teams/, services/, or a node's own");
        }

        @Override
        int run(Namespace o, PrintStream out, PrintStream err) {
            return new CheckCommand(out, err).run(o.getList("file"));
        }
    },
    /** Shows the whole path with stand-ins. */
    DEMO("demo", "run an entry process with stand-ins and send it requests") {
        @Override
        void configure(Subparser p) {
            p.addArgument("--once")
                    .action(Arguments.storeTrue())
                    .help("exit after the requests; non-zero if an answer was wrong");
        }

        @Override
        int run(Namespace o, PrintStream out, PrintStream err) {
            return new DemoCommand(out).run(o.getBoolean("once"));
        }
    },
    /** Measures the policy. */
    BENCH("bench", "measure the policy, the slopes of the capacity page, or the cost of a call") {
        @Override
        void configure(Subparser p) {
            p.addArgument("what").choices("policy", "capacity", "cost").help("what to measure");
            p.addArgument("--size")
                    .choices("today", "all")
                    .setDefault("today")
                    .help("both deployments of today, or the size in two years as well");
        }

        @Override
        int run(Namespace o, PrintStream out, PrintStream err) {
            if (o.getString("what").equals("capacity")) {
                new CapacityBench(out).run();
                return 0;
            }
            if (o.getString("what").equals("cost")) {
                new OverheadBench(out).run();
                return 0;
            }
            PolicyBench bench = new PolicyBench(out);
            if (o.getString("size").equals("all")) {
                bench.runAll();
            } else {
                bench.runToday();
            }
            return 0;
        }
    },
    /** Prints a process's state. */
    DUMP("dump", "print the state of a running process as JSON") {
        @Override
        void configure(Subparser p) {
            addAdminArguments(p);
        }

        @Override
        int run(Namespace o, PrintStream out, PrintStream err) {
            return queryAdminApi(o, out, "/dump", true);
        }
    },
    /** Prints one screen of figures. */
    STATUS("status", "is anything refused, stalled, cut off or behind?") {
        @Override
        void configure(Subparser p) {
            addAdminArguments(p);
            p.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        }

        @Override
        int run(Namespace o, PrintStream out, PrintStream err) {
            return queryAdminApi(o, out, "/v1/status", o.getBoolean("json"));
        }
    },
    /** Explains a request's way. */
    EXPLAIN("explain", "why would this request go where it goes?") {
        @Override
        void configure(Subparser p) {
            addAdminArguments(p);
            p.addArgument("--team").required(true).help("the team that sends it");
            p.addArgument("--model").required(true).help("adapter@version");
            p.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        }

        @Override
        int run(Namespace o, PrintStream out, PrintStream err) {
            String query = "?team=" + o.getString("team") + "&model=" + o.getString("model");
            return queryAdminApi(o, out, "/v1/explain" + query, o.getBoolean("json"));
        }
    };

    private static void addAdminArguments(Subparser p) {
        p.addArgument("--admin").required(true).help("the operators' port, HOST:PORT");
        p.addArgument("--key").setDefault("").help("the operators' key, if one is set");
    }

    private static int queryAdminApi(Namespace o, PrintStream out, String path, boolean json) {
        return new StatusCommand(out).run(o.getString("admin"), o.getString("key"), path, json);
    }

    private final String mName;
    private final String mHelp;

    Command(String word, String help) {
        mName = word;
        mHelp = help;
    }

    static Command fromName(String word) {
        return Arrays.stream(values()).filter(c -> c.mName.equals(word)).findFirst().orElseThrow();
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
