package org.fescuehollow.versions;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** A stream and the client that resumes it after its connection broke. */
final class SimulatedStream {
    private static final int PLACEMENT_RETRY_MILLIS = 100;
    private static final int MAX_PLACEMENTS = 20;
    private static final int MAX_ENGINES = 5;
    private static final int MAX_CLIENT_PAUSE_MILLIS = 500;
    private static final int MAX_FIRST_EVENT_MILLIS = 400;

    /** Streams that break although their node and engine live. */
    private static final double BREAK_SHARE = 0.3;

    private final VersionSimulation mWorld;
    private final String mId;
    private String mVersion = "";
    private int mArrivedMillis;
    private int mEndMillis;
    private boolean mKilled;
    private int mRun;

    SimulatedStream(VersionSimulation world, String id) {
        mWorld = world;
        mId = id;
    }

    String id() {
        return mId;
    }

    String version() {
        return mVersion;
    }

    void begin() {
        mArrivedMillis = mWorld.now();
        randomNode().ifPresent(n -> place(n, n.incarnation(), MAX_PLACEMENTS));
    }

    private Optional<SimulatedFrontend> randomNode() {
        List<SimulatedFrontend> alive =
                mWorld.nodes().stream().filter(SimulatedFrontend::isReady).toList();
        return alive.isEmpty()
                ? Optional.empty()
                : Optional.of(alive.get(mWorld.random().nextInt(alive.size())));
    }

    /** Streams whose node is killed before their first event may begin anew, and don't count. */
    private void place(SimulatedFrontend node, int incarnation, int triesLeft) {
        if (node.incarnation() != incarnation) {
            return;
        }
        if (node.isOutdated() && triesLeft > 0) {
            mWorld.after(
                    PLACEMENT_RETRY_MILLIS,
                    () -> randomNode().ifPresent(n -> place(n, n.incarnation(), triesLeft - 1)));
            return;
        }
        Optional<String> engine = node.pick(mId).flatMap(node::engineOf).filter(mWorld::serves);
        if (engine.isPresent()) {
            String version = mWorld.versionOf(engine.get());
            int waited = mWorld.now() - mArrivedMillis;
            int delay = 20 + mWorld.random().nextInt(MAX_FIRST_EVENT_MILLIS);
            mWorld.after(
                    delay, () -> onFirstEvent(node, incarnation, version, engine.get(), waited));
        } else if (triesLeft > 0) {
            mWorld.after(PLACEMENT_RETRY_MILLIS, () -> place(node, incarnation, triesLeft - 1));
        } else {
            mWorld.tally().onNotBegun();
        }
    }

    private void onFirstEvent(
            SimulatedFrontend node,
            int incarnation,
            String version,
            String engine,
            int waitedMillis) {
        if (node.incarnation() != incarnation) {
            return;
        }
        mVersion = version;
        mEndMillis = mArrivedMillis + (int) mWorld.life().toMillis();
        mWorld.tally().onBegun(waitedMillis);
        run(node, engine);
    }

    private void run(SimulatedFrontend node, String engine) {
        mRun++;
        node.onRunning(this);
        int run = mRun;
        int left = mEndMillis - mWorld.now();
        boolean breaks = mWorld.random().nextDouble() < BREAK_SHARE;
        int until = breaks ? mWorld.now() + mWorld.random().nextInt(left + 1) : mEndMillis;
        mWorld.at(Math.min(until, mWorld.endOf(engine)), () -> stop(node, run));
    }

    private void stop(SimulatedFrontend node, int run) {
        if (run == mRun) {
            node.onEnded(this);
            onBroken(false);
        }
    }

    /** Called when the connection broke; the client resumes the stream soon at some node. */
    void onBroken(boolean killed) {
        mKilled = killed;
        mRun++;
        mWorld.after(30 + mWorld.random().nextInt(MAX_CLIENT_PAUSE_MILLIS), this::resume);
    }

    private void resume() {
        if (mWorld.now() >= mEndMillis) {
            return;
        }
        Optional<SimulatedFrontend> node = randomNode();
        if (node.isEmpty()) {
            mWorld.after(MAX_CLIENT_PAUSE_MILLIS, this::resume);
            return;
        }
        Optional<String> version = node.get().versionOf(mId);
        Optional<String> engine =
                Stream.generate(() -> version.flatMap(node.get()::engineOf))
                        .limit(MAX_ENGINES)
                        .flatMap(Optional::stream)
                        .filter(mWorld::serves)
                        .findFirst();
        if (node.get().isInTouch() && mWorld.readyEngines(mVersion) >= 2) {
            mWorld.tally().onTaken(mKilled, engine.isPresent());
        }
        if (engine.isEmpty()) {
            return;
        }
        if (mWorld.versionOf(engine.get()).equals(mVersion)) {
            run(node.get(), engine.get());
        } else {
            mWorld.tally().onWrongVersion();
        }
    }
}
