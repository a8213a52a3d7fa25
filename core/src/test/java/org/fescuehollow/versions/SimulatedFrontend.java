package org.fescuehollow.versions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.Engine;

/** A node that decides with the classes of this package about the streams of its clients. */
final class SimulatedFrontend {
    static final Duration ADOPTION_DELAY = Duration.ofMillis(1_500);

    private static final int READ_PAUSE_MILLIS = 1_000;
    private static final int MAX_READ_MILLIS = 100;
    private static final int MAX_RECORD_MILLIS = 50;
    private static final int MESSAGES_PER_READ = 4;
    private static final int HEAR_MILLIS = 250;
    private static final double FAILED_READS = 0.05;

    /** State messages are sent once in a period. */
    private static final int MAX_REPORT_MILLIS = 250;

    private final VersionSimulation mWorld;
    private final String mName;
    private final Map<String, Engine> mEntries = new HashMap<>();
    private final Set<Engine> mReportedLeaving = new HashSet<>();
    private final Map<String, SimulatedStream> mOpen = new LinkedHashMap<>();
    private final Set<String> mTold = new HashSet<>();
    private Map<String, List<String>> mInUse = Map.of();
    private VersionRegistry mRegistry = new VersionRegistry(ADOPTION_DELAY);
    private StreamOrigins mOrigins = new StreamOrigins(10_000);
    private boolean mAlive;
    private boolean mReady;
    private int mIncarnation;
    private int mKilledMillis = Integer.MIN_VALUE / 2;
    private int mCutFrom = Integer.MAX_VALUE;
    private int mCutUntil = Integer.MAX_VALUE;
    private int mReadMillis;

    SimulatedFrontend(VersionSimulation world, String name) {
        mWorld = world;
        mName = name;
    }

    String name() {
        return mName;
    }

    boolean isAlive() {
        return mAlive;
    }

    boolean isReady() {
        return mAlive && mReady;
    }

    int incarnation() {
        return mIncarnation;
    }

    int killedMillis() {
        return mKilledMillis;
    }

    boolean isInTouch() {
        return mWorld.now() < mCutFrom || mWorld.now() >= mCutUntil;
    }

    void cutOffStore(int fromMillis, int untilMillis) {
        mCutFrom = fromMillis;
        mCutUntil = untilMillis;
    }

    void start() {
        mAlive = true;
        mReady = false;
        mIncarnation++;
        mRegistry = new VersionRegistry(ADOPTION_DELAY);
        mOrigins = new StreamOrigins(10_000);
        mReportedLeaving.clear();
        mTold.clear();
        int incarnation = mIncarnation;
        mWorld.after(1 + mWorld.random().nextInt(MAX_READ_MILLIS), () -> read(incarnation));
    }

    void kill() {
        mAlive = false;
        mReady = false;
        mIncarnation++;
        mKilledMillis = mWorld.now();
        List<SimulatedStream> broken = new ArrayList<>(mOpen.values());
        mOpen.clear();
        broken.forEach(s -> s.onBroken(true));
    }

    private void read(int incarnation) {
        if (incarnation != mIncarnation) {
            return;
        }
        int now = mWorld.now();
        boolean fails = mReady && mWorld.random().nextDouble() < FAILED_READS;
        if (!isInTouch() || fails) {
            hearPeers();
            tellOpenStreams();
        } else if (!mReady) {
            list();
            replayHistory(incarnation);
        } else if (now - mReadMillis >= SimulatedStore.HISTORY_MILLIS) {
            list();
            tellOpenStreams();
        } else {
            follow(mWorld.store().changes(mReadMillis, now));
        }
        if (!isInTouch() || fails) {
            mWorld.after(HEAR_MILLIS, () -> read(incarnation));
            return;
        }
        mReadMillis = now;
        mRegistry.onPeerHeard(mWorld.nanos());
        int pause = READ_PAUSE_MILLIS + mWorld.random().nextInt(MAX_READ_MILLIS);
        mWorld.after(pause, () -> read(incarnation));
    }

    /** Hears some of the nodes that reach the store; others say nothing of their entries. */
    private void hearPeers() {
        if (mWorld.peersOf(this).stream().anyMatch(n -> n.isAlive() && mWorld.hears(this, n))) {
            mRegistry.onPeerHeard(mWorld.nanos());
        }
        List<SimulatedFrontend> fresh =
                new ArrayList<>(
                        mWorld.peersOf(this).stream()
                                .filter(n -> n.isReady() && !n.mRegistry.isStale(mWorld.nanos()))
                                .filter(n -> mWorld.hears(this, n))
                                .toList());
        Collections.shuffle(fresh, mWorld.random());
        fresh.stream()
                .limit(MESSAGES_PER_READ)
                .forEach(
                        n ->
                                mRegistry.onPeerRead(
                                        n.mRegistry.fingerprint(), n.mRegistry.lastReadNanos()));
    }

    boolean isOutdated() {
        return mRegistry.isOutdated(mWorld.nanos());
    }

    private void list() {
        mEntries.clear();
        mWorld.store()
                .entries(mWorld.now())
                .forEach(w -> mEntries.put(w.id(), w.engine().orElseThrow()));
        mRegistry.onListed(mEntries.values(), mWorld.nanos());
        updateInUse();
    }

    private void replayHistory(int incarnation) {
        int listed = mWorld.now();
        int answer = 1 + mWorld.random().nextInt(MAX_READ_MILLIS);
        int after = listed - SimulatedStore.HISTORY_MILLIS + mWorld.random().nextInt(2_000);
        mWorld.after(
                answer,
                () -> {
                    if (incarnation == mIncarnation) {
                        if (mWorld.policy().replaysHistory()) {
                            mRegistry.seed(replay(after, listed), mWorld.nanos());
                        }
                        mReady = true;
                    }
                });
    }

    private VersionReplay.Result replay(int after, int until) {
        List<VersionReplay.Entry> entries =
                mWorld.store().entries(until).stream()
                        .map(w -> new VersionReplay.Entry(w.id(), w.createdMillis(), w.engine()))
                        .toList();
        List<VersionReplay.Event> events =
                mWorld.store().writes(after, until).stream()
                        .map(SimulatedStore.Write::toEvent)
                        .toList();
        return VersionReplay.replay(
                entries, events, after, Duration.ofMillis(SimulatedStore.HEARTBEAT_MILLIS));
    }

    private void follow(List<SimulatedStore.Write> changes) {
        for (SimulatedStore.Write w : changes) {
            Engine before = mEntries.get(w.id());
            if (w.engine().isPresent()) {
                mEntries.put(w.id(), w.engine().get());
                mRegistry.onEntry(w.engine().get(), mWorld.nanos());
            } else {
                mEntries.remove(w.id());
                mRegistry.onRemoved(w.id(), mWorld.nanos());
            }
            if (isReady(before)
                    && !isReady(mEntries.get(w.id()))
                    && !mReportedLeaving.contains(before)) {
                reportLeaving(before);
            }
        }
        mRegistry.onStoreRead(mWorld.nanos());
        if (!changes.isEmpty()) {
            updateInUse();
            tellOpenStreams();
        }
    }

    private static boolean isReady(Engine engine) {
        return engine != null && !engine.draining();
    }

    private void reportLeaving(Engine engine) {
        mWorld.peersOf(this)
                .forEach(
                        p ->
                                mWorld.send(
                                        this,
                                        p,
                                        MAX_REPORT_MILLIS,
                                        n -> n.onLeavingReported(engine)));
    }

    private void onLeavingReported(Engine engine) {
        if (mReportedLeaving.add(engine) && mEntries.containsValue(engine)) {
            updateInUse();
        }
    }

    private void updateInUse() {
        Collection<Engine> used =
                mEntries.values().stream()
                        .filter(e -> !e.draining() && !mReportedLeaving.contains(e))
                        .toList();
        mRegistry.setInUse(used);
        mInUse = new HashMap<>();
        used.forEach(
                e ->
                        mInUse.computeIfAbsent(e.softwareVersion(), v -> new ArrayList<>())
                                .add(e.id()));
    }

    Optional<String> pick(String id) {
        return mRegistry.pick(
                VersionSimulation.SERVICE, VersionSimulation.MODEL, id, mWorld.nanos());
    }

    /** Returns an engine of a version to which this node may send requests. */
    Optional<String> engineOf(String version) {
        List<String> engines = mInUse.getOrDefault(version, List.of());
        return engines.isEmpty()
                ? Optional.empty()
                : Optional.of(engines.get(mWorld.random().nextInt(engines.size())));
    }

    /** Returns the version at which a stream began, or empty to refuse it. */
    Optional<String> versionOf(String id) {
        Optional<String> own = mOrigins.find(id, mWorld.nanos());
        if (own.isPresent()) {
            return own;
        }
        VersionPolicy policy = mWorld.policy();
        if (policy == VersionPolicy.ID_ALONE) {
            return pick(id);
        }
        Optional<String> derived = policy.derives() ? derive(id) : Optional.empty();
        return derived.isPresent() || !policy.tellsPeers() ? derived : askPeers(id);
    }

    private Optional<String> derive(String id) {
        return mRegistry.derive(
                VersionSimulation.SERVICE,
                VersionSimulation.MODEL,
                id,
                mWorld.life(),
                mWorld.nanos());
    }

    private Optional<String> askPeers(String id) {
        return holders(id).stream()
                .filter(n -> n.isAlive() && mWorld.hears(this, n))
                .flatMap(n -> n.mOrigins.find(id, mWorld.nanos()).stream())
                .findFirst();
    }

    private List<SimulatedFrontend> holders(String id) {
        List<String> peers = mWorld.peersOf(this).stream().map(SimulatedFrontend::name).toList();
        return OriginHolders.of(id, peers).stream().map(mWorld::node).toList();
    }

    void onRunning(SimulatedStream stream) {
        mOpen.put(stream.id(), stream);
        mOrigins.add(stream.id(), stream.version(), mWorld.nanos());
        tell(stream);
    }

    void onEnded(SimulatedStream stream) {
        mOpen.remove(stream.id());
    }

    private void tellOpenStreams() {
        mOpen.values().forEach(this::tell);
    }

    private void tell(SimulatedStream stream) {
        VersionPolicy policy = mWorld.policy();
        if (!policy.tellsPeers() || policy.derives() && !isAmbiguous(stream)) {
            return;
        }
        if (!mTold.add(stream.id())) {
            return;
        }
        mWorld.tally().onTold();
        holders(stream.id())
                .forEach(
                        p ->
                                mWorld.send(
                                        this,
                                        p,
                                        MAX_RECORD_MILLIS,
                                        n -> n.onTold(stream.id(), stream.version())));
    }

    private boolean isAmbiguous(SimulatedStream stream) {
        return mRegistry.isAmbiguous(
                VersionSimulation.SERVICE,
                VersionSimulation.MODEL,
                stream.id(),
                mWorld.life(),
                mWorld.nanos());
    }

    private void onTold(String id, String version) {
        mOrigins.add(id, version, mWorld.nanos());
    }
}
