package org.fescuehollow.versions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.fescuehollow.catalog.Engine;

/**
 * A fleet in virtual time whose nodes begin streams and resume those of others, while engines are
 * replaced and nodes are killed or cut off. Times are in milliseconds.
 */
final class VersionSimulation {
    static final String SERVICE = "llm";
    static final String MODEL = "m";

    private static final int BEFORE_MILLIS = -30_000;
    private static final int FIRST_STREAM_MILLIS = 1_000;
    private static final int STREAM_MILLIS = 35;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int RELEASE_GAP_MILLIS = 400;
    private static final int OLD_DRAINS_AFTER_MILLIS = 1_000;
    private static final int RESTART_MILLIS = 1_000;
    private static final int SHORT_LIFE_MILLIS = 400;

    /** A crashed engine is back after its entry has expired. */
    private static final int RETURN_MILLIS = 5_000;

    /** Time until nodes notice that another one is lost. */
    private static final int LOSS_NOTICED_MILLIS = 1_500;

    private static final double MESSAGE_LOSS = 0.05;

    private final Random mRandom;
    private final VersionScenario mScenario;
    private final VersionPolicy mPolicy;
    private final Duration mLife;
    private final SimulatedStore mStore;
    private final List<Truth> mEngines = new ArrayList<>();
    private final List<SimulatedFrontend> mNodes = new ArrayList<>();
    private final VersionTally mTally = new VersionTally();
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private int mNow = BEFORE_MILLIS;
    private long mTaskCount;

    /** What is true of an engine, whatever the nodes know. */
    private record Truth(Engine engine, int from, int drains, int ends) {}

    private record Task(int at, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task o) {
            return at != o.at ? Integer.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    VersionSimulation(
            VersionFleet fleet,
            Duration life,
            VersionScenario scenario,
            VersionPolicy policy,
            long seed) {
        mRandom = new Random(seed);
        mScenario = scenario;
        mPolicy = policy;
        mLife = life;
        mStore = new SimulatedStore(mRandom);
        int release = 20_000 + mRandom.nextInt(8_000);
        int end = release + 40_000;
        layOut(fleet.engines(), release, end);
        for (int i = 0; i < fleet.nodes(); i++) {
            mNodes.add(new SimulatedFrontend(this, "node-" + i));
        }
        mNodes.forEach(n -> at(mRandom.nextInt(500), n::start));
        mNodes.forEach(n -> cut(n, release));
        for (int i = 0; i < scenario.kills(); i++) {
            at(release - 1_000 + mRandom.nextInt(23_000), this::kill);
        }
        for (int t = FIRST_STREAM_MILLIS; t < end - life.toMillis(); t += STREAM_MILLIS) {
            at(t, () -> new SimulatedStream(this, "stream-" + seed + "-" + mNow).begin());
        }
    }

    private void layOut(int engines, int release, int end) {
        int released = mScenario.releasedEngines(engines);
        int at = release;
        for (int i = 0; i < engines; i++) {
            if (i < mScenario.returningEngines()) {
                addCrashingEngine("old-" + i, "v1", BEFORE_MILLIS, at);
                addEngine("old-" + i, "v2", at + RETURN_MILLIS, end);
            } else if (i < released) {
                addEngine("new-" + i, "v2", at, end);
                addEngine("old-" + i, "v1", BEFORE_MILLIS, at + OLD_DRAINS_AFTER_MILLIS);
            } else {
                addEngine("old-" + i, "v1", BEFORE_MILLIS, end);
            }
            at += RELEASE_GAP_MILLIS + mRandom.nextInt(200);
        }
        for (int i = 0; i < mScenario.shortLivedEngines(); i++) {
            int from = release + mRandom.nextInt(15_000);
            int life = SHORT_LIFE_MILLIS + mRandom.nextInt(2 * SHORT_LIFE_MILLIS);
            addEngine("short-" + i, "v2", from, from + life);
        }
        mStore.sort();
    }

    private void addEngine(String id, String version, int from, int drains) {
        Engine engine = engine(id, version, from);
        int ends = drains + DRAIN_MILLIS + mRandom.nextInt(4_000);
        mEngines.add(new Truth(engine, from, drains, ends));
        mStore.addEngine(engine, from, drains, ends);
    }

    private void addCrashingEngine(String id, String version, int from, int crash) {
        Engine engine = engine(id, version, from);
        mEngines.add(new Truth(engine, from, crash, crash));
        mStore.addSilentEngine(engine, from, crash);
    }

    private static Engine engine(String id, String version, int from) {
        return new Engine(
                id,
                from - BEFORE_MILLIS + 1,
                SERVICE,
                version,
                "10.0.0.1",
                80,
                "d",
                8,
                false,
                0,
                Set.of(MODEL),
                Map.of());
    }

    private void cut(SimulatedFrontend node, int release) {
        int millis = mScenario.cutMillis(mRandom);
        if (millis > 0) {
            int from = release - 10_000 + mRandom.nextInt(25_000);
            node.cutOffStore(from, from + millis);
        }
    }

    private void kill() {
        List<SimulatedFrontend> killed = new ArrayList<>(mNodes);
        Collections.shuffle(killed, mRandom);
        for (SimulatedFrontend n : killed.subList(0, mScenario.killedNodes(mNodes.size()))) {
            n.kill();
            at(mNow + RESTART_MILLIS + mRandom.nextInt(500), n::start);
        }
    }

    VersionTally run() {
        while (!mTasks.isEmpty()) {
            Task next = mTasks.poll();
            mNow = next.at();
            if (mNow > 90_000) {
                break;
            }
            next.action().run();
        }
        return mTally;
    }

    void at(int millis, Runnable action) {
        mTasks.add(new Task(millis, mTaskCount++, action));
    }

    void after(int millis, Runnable action) {
        at(mNow + millis, action);
    }

    /** Delivers a message to a node, unless it is lost. */
    void send(
            SimulatedFrontend from,
            SimulatedFrontend to,
            int maxMillis,
            Consumer<SimulatedFrontend> message) {
        if (hears(from, to) && mRandom.nextDouble() >= MESSAGE_LOSS) {
            after(
                    2 + mRandom.nextInt(maxMillis),
                    () -> {
                        if (to.isAlive()) {
                            message.accept(to);
                        }
                    });
        }
    }

    /** Returns whether messages between two nodes arrive. */
    boolean hears(SimulatedFrontend a, SimulatedFrontend b) {
        return !mScenario.isolates() || a.isInTouch() && b.isInTouch();
    }

    int now() {
        return mNow;
    }

    long nanos() {
        return Duration.ofMillis(mNow).toNanos();
    }

    Random random() {
        return mRandom;
    }

    Duration life() {
        return mLife;
    }

    SimulatedStore store() {
        return mStore;
    }

    VersionPolicy policy() {
        return mPolicy;
    }

    VersionTally tally() {
        return mTally;
    }

    List<SimulatedFrontend> nodes() {
        return mNodes;
    }

    /** Returns the names of the other nodes that a node takes for live. */
    List<SimulatedFrontend> peersOf(SimulatedFrontend node) {
        return mNodes.stream()
                .filter(n -> n != node)
                .filter(n -> n.isAlive() || mNow - n.killedMillis() < LOSS_NOTICED_MILLIS)
                .toList();
    }

    SimulatedFrontend node(String name) {
        return mNodes.get(Integer.parseInt(name.substring("node-".length())));
    }

    boolean serves(String engine) {
        return serving(engine).isPresent();
    }

    int endOf(String engine) {
        return serving(engine).map(Truth::ends).orElse(mNow);
    }

    /** Returns the version of the incarnation that serves now under an id. */
    String versionOf(String engine) {
        return serving(engine).orElseThrow().engine().softwareVersion();
    }

    private Optional<Truth> serving(String engine) {
        return mEngines.stream()
                .filter(t -> t.engine().id().equals(engine))
                .filter(t -> t.from() <= mNow && mNow < t.ends())
                .findFirst();
    }

    long readyEngines(String version) {
        return mEngines.stream()
                .filter(t -> t.engine().softwareVersion().equals(version))
                .filter(t -> t.from() <= mNow && mNow < t.drains())
                .count();
    }
}
