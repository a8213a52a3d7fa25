package org.fescuehollow.versions;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.fescuehollow.catalog.Engine;
import org.junit.jupiter.api.Test;

class VersionRegistryTest {
    private static final Duration LIFE = Duration.ofSeconds(6);
    private static final VersionShares BOTH = new VersionShares(Map.of("v1", 1, "v2", 1));
    private static final String STAYS = idOf("v1");
    private static final String MOVES = idOf("v2");

    private final Map<String, Engine> mInUse = new HashMap<>();
    private final VersionRegistry mRegistry = new VersionRegistry(Duration.ofMillis(1_500));

    private static String idOf(String version) {
        return IntStream.range(0, 100)
                .mapToObj(i -> "id-" + i)
                .filter(i -> BOTH.pick(i).orElseThrow().equals(version))
                .findFirst()
                .orElseThrow();
    }

    private static Engine engine(String id, String version, boolean draining) {
        return new Engine(
                id, 1, "llm", version, "10.0.0.1", 80, "d", 4, draining, 0, Set.of("m"), Map.of());
    }

    private static long seconds(double s) {
        return (long) (s * 1e9);
    }

    private void list(double at, Engine... engines) {
        mRegistry.onListed(List.of(engines), seconds(at));
        mInUse.clear();
        List.of(engines).forEach(e -> mInUse.put(e.id(), e));
        mRegistry.setInUse(mInUse.values());
    }

    private void write(double at, Engine engine) {
        mRegistry.onEntry(engine, seconds(at));
        mRegistry.onStoreRead(seconds(at));
        mInUse.put(engine.id(), engine);
        mRegistry.setInUse(mInUse.values());
    }

    private Optional<String> pick(String id, double at) {
        return mRegistry.pick("llm", "m", id, seconds(at));
    }

    private Optional<String> derive(String id, double at) {
        return mRegistry.derive("llm", "m", id, LIFE, seconds(at));
    }

    private void keepReading(double until) {
        for (long t = mRegistry.lastReadNanos(); t < seconds(until); t += seconds(1)) {
            mRegistry.onStoreRead(t);
        }
        mRegistry.onStoreRead(seconds(until));
    }

    @Test
    void derive_namesTheVersionThatAnotherNodePicked() {
        list(0, engine("e1", "v1", false));
        keepReading(59);
        write(60, engine("e2", "v2", false));
        then(pick(MOVES, 60)).contains("v1");
        then(pick(MOVES, 61.5)).contains("v2");
        then(derive(STAYS, 61.4)).contains("v1");
        then(derive(MOVES, 61.4)).isEmpty();
        then(mRegistry.isAmbiguous("llm", "m", MOVES, LIFE, seconds(61.4))).isTrue();
        then(mRegistry.isAmbiguous("llm", "m", STAYS, LIFE, seconds(61.4))).isFalse();
        then(mRegistry.single("llm", "m", LIFE, seconds(61.4))).isEmpty();
    }

    @Test
    void derive_needsAFreshReadOfTheStore() {
        list(0, engine("e1", "v1", false));
        keepReading(60);
        then(derive(STAYS, 61.5)).contains("v1");
        then(mRegistry.single("llm", "m", LIFE, seconds(61.5))).contains("v1");
        then(mRegistry.isStale(seconds(61.6))).isTrue();
        then(derive(STAYS, 61.6)).isEmpty();
        then(mRegistry.single("llm", "m", LIFE, seconds(61.6))).isEmpty();
        then(mRegistry.isAmbiguous("llm", "m", STAYS, LIFE, seconds(61.6))).isTrue();
    }

    @Test
    void derive_isEmptyAfterAListingThatMayHideChanges() {
        list(0, engine("e1", "v1", false));
        keepReading(60);
        // THEN a listing shortly after, with the same engines, hides none
        list(61, engine("e1", "v1", false));
        then(derive(STAYS, 61)).contains("v1");
        list(62, engine("e1", "v1", false), engine("e2", "v2", false));
        then(derive(STAYS, 62)).isEmpty();
        keepReading(80);
        then(derive(STAYS, 80)).contains("v1");
        list(90, engine("e1", "v1", false), engine("e2", "v2", false));
        then(derive(STAYS, 90)).isEmpty();
    }

    /** Guards against refusals while only this node can't reach the store. */
    @Test
    void peer_withTheSameEntriesStandsInForTheStore() {
        list(0, engine("e1", "v1", false));
        VersionRegistry peer = new VersionRegistry(Duration.ofMillis(1_500));
        peer.onListed(List.of(engine("e1", "v1", false)), seconds(60));
        mRegistry.onPeerRead(peer.fingerprint(), peer.lastReadNanos());
        then(mRegistry.isStale(seconds(61.5))).isFalse();
        then(derive(STAYS, 61.5)).contains("v1");
        then(mRegistry.isStale(seconds(61.6))).isTrue();
    }

    /** Guards against streams that begin by shares that no other node knows any more. */
    @Test
    void pick_isEmptyWhileOnlyOtherNodesReadChanges() {
        list(0, engine("e1", "v1", false));
        VersionRegistry peer = new VersionRegistry(Duration.ofMillis(1_500));
        peer.onListed(List.of(engine("e1", "v1", false)), 0);
        peer.onEntry(engine("e2", "v2", false), seconds(2));
        peer.onStoreRead(seconds(2));
        mRegistry.onPeerRead(peer.fingerprint(), seconds(2));
        then(pick(STAYS, 3)).contains("v1");
        then(mRegistry.isOutdated(seconds(3.1))).isTrue();
        then(pick(STAYS, 3.1)).isEmpty();
        write(3.2, engine("e2", "v2", false));
        then(mRegistry.fingerprint()).isEqualTo(peer.fingerprint());
        then(mRegistry.isOutdated(seconds(3.2))).isFalse();
    }

    @Test
    void pick_goesOnWhileNoNodeReachesTheStore() {
        list(0, engine("e1", "v1", false));
        VersionRegistry peer = new VersionRegistry(Duration.ofMillis(1_500));
        peer.onListed(List.of(engine("e1", "v2", false)), 0);
        mRegistry.onPeerRead(peer.fingerprint(), peer.lastReadNanos());
        mRegistry.onPeerHeard(seconds(59));
        then(mRegistry.isOutdated(seconds(60))).isFalse();
        then(pick(STAYS, 60)).contains("v1");
    }

    /** Guards against streams that a node begins by old shares while it is cut off from all. */
    @Test
    void pick_isEmptyWhileNeitherTheStoreNorOtherNodesAreReached() {
        list(0, engine("e1", "v1", false));
        mRegistry.onPeerHeard(seconds(1));
        then(pick(STAYS, 4)).contains("v1");
        then(pick(STAYS, 4.1)).isEmpty();
        keepReading(4.2);
        then(pick(STAYS, 4.2)).contains("v1");
    }

    /** Guards against old shares that a node goes on by after it missed when others left them. */
    @Test
    void pick_afterALateReadWaitsForStreamsWhoseVersionChanges() {
        list(0, engine("e1", "v1", false));
        write(30, engine("e2", "v2", false));
        then(pick(STAYS, 30)).contains("v1");
        then(pick(MOVES, 30)).isEmpty();
        keepReading(31);
        then(pick(MOVES, 31.5)).contains("v2");
    }

    @Test
    void fingerprint_changesOnlyWithWhatDecidesWhereStreamsBegin() {
        list(0, engine("e1", "v1", false), engine("e2", "v2", false));
        long before = mRegistry.fingerprint();
        write(1, engine("e1", "v1", false));
        then(mRegistry.fingerprint()).isEqualTo(before);
        write(1, engine("e1", "v1", true));
        then(mRegistry.fingerprint()).isNotEqualTo(before);
        mRegistry.onRemoved("e1", seconds(1));
        mRegistry.onEntry(engine("e1", "v1", false), seconds(1));
        then(mRegistry.fingerprint()).isEqualTo(before);
    }

    @Test
    void derive_ofAnUnknownServiceIsEmpty() {
        list(0, engine("e1", "v1", false));
        keepReading(60);
        then(mRegistry.derive("other", "m", STAYS, LIFE, seconds(60))).isEmpty();
        then(mRegistry.derive("llm", "n", STAYS, LIFE, seconds(60))).isEmpty();
        then(mRegistry.pick("llm", "n", STAYS, seconds(60))).isEmpty();
        then(mRegistry.derive("llm", "", STAYS, LIFE, seconds(60))).contains("v1");
    }

    /** Guards against streams that wait for engines that are gone until shares are adopted. */
    @Test
    void pick_usesTheNewVersionOnceNoEngineOfTheOldOneIsInUse() {
        list(0, engine("e1", "v1", false));
        keepReading(59);
        write(60, engine("e2", "v2", false));
        write(60.5, engine("e1", "v1", true));
        then(pick(STAYS, 60.5)).contains("v2");
        then(mRegistry.isAmbiguous("llm", "m", STAYS, LIFE, seconds(60.5))).isTrue();
    }

    /** Guards against a node that leaves a version for good which all others go on choosing. */
    @Test
    void pick_returnsToAVersionThatTheStoreKeepsListing() {
        list(0, engine("e1", "v1", false), engine("e2", "v2", false));
        keepReading(60);
        mRegistry.setInUse(List.of(engine("e2", "v2", false)));
        then(pick(STAYS, 60)).contains("v2");
        keepReading(63.1);
        then(pick(STAYS, 63.1)).contains("v1");
        mRegistry.onRemoved("e1", seconds(64));
        keepReading(64);
        then(pick(STAYS, 64)).contains("v2");
    }

    @Test
    void entry_ofAnEngineThatReturnsAtAnotherVersionChangesTheShares() {
        list(0, engine("e1", "v1", false));
        write(60, engine("e1", "v2", false));
        then(derive(STAYS, 60)).isEmpty();
        then(pick(STAYS, 62)).contains("v2");
    }

    @Test
    void entry_thatNamesNoEngineAnyMoreCountsAsRemoved() {
        list(0, engine("e1", "v1", false), engine("e2", "v2", false));
        mRegistry.onRemoved("e2", seconds(60));
        mRegistry.onStoreRead(seconds(61.5));
        then(pick(MOVES, 61.5)).contains("v1");
        then(derive(MOVES, 61.5)).isEmpty();
    }

    @Test
    void single_countsAVersionThatHasLeft() {
        list(0, engine("e1", "v1", false), engine("e2", "v2", false));
        mRegistry.onRemoved("e1", seconds(60));
        keepReading(70);
        then(mRegistry.single("llm", "m", LIFE, seconds(70))).isEmpty();
        keepReading(107);
        then(mRegistry.single("llm", "m", LIFE, seconds(107))).contains("v2");
    }

    /** Guards against a stream that is resumed at another version after all nodes were killed. */
    @Test
    void derive_afterAStartCountsVersionsThatHaveJustLeft() {
        list(100, engine("e2", "v2", false));
        then(derive(STAYS, 100)).isEmpty();
        seedAfterRemovalOfV1(26);
        then(derive(MOVES, 100.1)).contains("v2");
        then(derive(STAYS, 100.1)).isEmpty();
        then(pick(STAYS, 100.1)).contains("v2");
    }

    @Test
    void derive_afterAStartIgnoresVersionsThatLeftBeforeTheStreamBegan() {
        list(100, engine("e2", "v2", false));
        seedAfterRemovalOfV1(20);
        then(derive(STAYS, 100.1)).contains("v2");
        // THEN other nodes may still need to be told
        then(mRegistry.isAmbiguous("llm", "m", STAYS, LIFE, seconds(100.1))).isTrue();
    }

    /** Seeds 32 changes of two engines, the first of which is removed by one of them. */
    private void seedAfterRemovalOfV1(int removal) {
        List<VersionReplay.Event> events =
                IntStream.range(0, 32)
                        .mapToObj(
                                i -> {
                                    if (i == removal) {
                                        return removal("e1");
                                    }
                                    return i < removal && i % 2 == 0
                                            ? written("e1", "v1")
                                            : written("e2", "v2");
                                })
                        .toList();
        mRegistry.seed(
                VersionReplay.replay(List.of(), events, 9, Duration.ofMillis(1_200)),
                seconds(100.1));
    }

    private static VersionReplay.Event removal(String id) {
        return new VersionReplay.Event(id, 0, Optional.empty(), true);
    }

    private static VersionReplay.Event written(String id, String version) {
        return new VersionReplay.Event(id, 1, Optional.of(engine(id, version, false)), false);
    }
}
