package org.fescuehollow.versions;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.versions.VersionReplay.Entry;
import org.fescuehollow.versions.VersionReplay.Event;
import org.junit.jupiter.api.Test;

class VersionReplayTest {
    private static final Duration HEARTBEAT = Duration.ofSeconds(1);
    private static final ServiceModel KEY = new ServiceModel("llm", "m");
    private static final long AFTER = 100;

    /** Created before and after the revision from which changes are replayed. */
    private static final long EARLIER = 50;

    private static final long LATER = 150;

    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Event> mEvents = new ArrayList<>();

    private static Engine engine(String id, String version, boolean draining) {
        return new Engine(
                id, 1, "llm", version, "10.0.0.1", 80, "d", 4, draining, 0, Set.of("m"), Map.of());
    }

    private void write(String id, long created, String version) {
        mEvents.add(new Event(id, created, Optional.of(engine(id, version, false)), false));
    }

    private void drain(String id, long created, String version) {
        mEvents.add(new Event(id, created, Optional.of(engine(id, version, true)), false));
    }

    private void remove(String id) {
        mEvents.add(new Event(id, 0, Optional.empty(), true));
    }

    private VersionReplay.Result replay() {
        return VersionReplay.replay(mEntries, mEvents, AFTER, HEARTBEAT);
    }

    private List<Map<String, Integer>> shares() {
        return replay().shares().getOrDefault(KEY, List.of()).stream()
                .map(s -> s.shares().engines())
                .toList();
    }

    @Test
    void engine_createdLaterJoinsWithItsFirstWrite() {
        write("e1", EARLIER, "v1");
        write("e2", LATER, "v2");
        write("e1", EARLIER, "v1");
        then(shares()).containsExactly(Map.of("v1", 1), Map.of("v1", 1, "v2", 1));
    }

    @Test
    void engine_thatDrainsOrLeavesNoLongerCounts() {
        write("e1", EARLIER, "v1");
        write("e2", EARLIER, "v1");
        write("e3", EARLIER, "v2");
        drain("e1", EARLIER, "v1");
        remove("e2");
        then(shares())
                .containsExactly(
                        Map.of("v1", 2, "v2", 1), Map.of("v1", 1, "v2", 1), Map.of("v2", 1));
    }

    /** Guards against a version that left before anything else is known of it. */
    @Test
    void removal_withoutAWriteMakesWhatWasBeforeUnknown() {
        IntStream.range(0, 5).forEach(i -> write("e1", EARLIER, "v1"));
        remove("e2");
        then(replay().covered()).isZero();
        IntStream.range(0, 5).forEach(i -> write("e1", EARLIER, "v1"));
        then(shares()).containsExactly(Map.of("v1", 1));
        then(replay().covered()).isEqualTo(HEARTBEAT.multipliedBy(4));
    }

    @Test
    void engine_thereFromTheStartCountsBeforeItsFirstWrite() {
        write("e1", EARLIER, "v1");
        write("e3", LATER, "v3");
        write("e2", EARLIER, "v2");
        then(shares()).containsExactly(Map.of("v1", 1, "v2", 1), Map.of("v1", 1, "v2", 1, "v3", 1));
    }

    /** An engine that drains may have been ready when the history begins, or not any more. */
    @Test
    void engine_thatFirstDrainsCountsAsBothUntilThen() {
        write("e1", EARLIER, "v1");
        write("e4", LATER, "v3");
        drain("e2", EARLIER, "v2");
        drain("e3", EARLIER, "v2");
        write("e1", EARLIER, "v1");
        then(shares())
                .containsSubsequence(
                        Map.of("v1", 1),
                        Map.of("v1", 1, "v2", 1),
                        Map.of("v1", 1, "v2", 2),
                        Map.of("v1", 1, "v3", 1),
                        Map.of("v1", 1, "v2", 1, "v3", 1),
                        Map.of("v1", 1, "v2", 2, "v3", 1),
                        Map.of("v1", 1, "v3", 1));
        then(replay().covered()).isEqualTo(HEARTBEAT);
    }

    /** Guards against an engine that was ready, or of another version, before that write. */
    @Test
    void engine_thatFirstNamesNoEngineIsUnknownUntilThen() {
        write("e1", EARLIER, "v1");
        mEvents.add(new Event("e3", EARLIER, Optional.empty(), false));
        write("e1", EARLIER, "v1");
        then(shares()).containsExactly(Map.of("v1", 1));
        then(replay().covered()).isZero();
        IntStream.range(0, 3).forEach(i -> write("e1", EARLIER, "v1"));
        then(replay().covered()).isEqualTo(HEARTBEAT.multipliedBy(3));
    }

    /** Guards against an engine that was of another version before it started again. */
    @Test
    void engine_thatFirstDrainsAfterALateStartIsUnknownUntilThen() {
        write("e1", EARLIER, "v1");
        drain("e2", EARLIER, "v2");
        write("e1", EARLIER, "v1");
        VersionReplay.Times times = new VersionReplay.Times(0, 1);
        VersionReplay.Result replay =
                VersionReplay.replay(mEntries, mEvents, AFTER, HEARTBEAT, times);
        then(replay.shares().get(KEY)).hasSize(1);
        then(replay.covered()).isZero();
    }

    @Test
    void engine_thatWroteNothingKeepsItsEntry() {
        mEntries.add(new Entry("e1", EARLIER, Optional.of(engine("e1", "v1", false))));
        mEntries.add(new Entry("e2", EARLIER, Optional.empty()));
        mEntries.add(new Entry("e3", LATER, Optional.of(engine("e3", "v3", false))));
        write("e4", EARLIER, "v2");
        then(shares()).containsExactly(Map.of("v1", 1, "v2", 1));
    }

    @Test
    void engine_thatReturnsAtAnotherVersionChangesTheShares() {
        write("e1", EARLIER, "v1");
        write("e1", EARLIER, "v2");
        remove("e1");
        write("e1", LATER, "v3");
        then(shares()).containsExactly(Map.of("v1", 1), Map.of("v2", 1), Map.of(), Map.of("v3", 1));
    }

    @Test
    void entry_thatNamesNoEngineAnyMoreCountsAsRemoved() {
        write("e1", EARLIER, "v1");
        write("e2", EARLIER, "v2");
        mEvents.add(new Event("e2", EARLIER, Optional.empty(), false));
        then(shares()).containsExactly(Map.of("v1", 1, "v2", 1), Map.of("v1", 1));
    }

    @Test
    void age_isCountedInHeartbeatsOfEnginesThatStay() {
        IntStream.range(0, 10)
                .forEach(
                        i -> {
                            write("e1", EARLIER, "v1");
                            if (i == 4) {
                                write("e2", LATER, "v2");
                            } else if (i == 6) {
                                remove("e2");
                            }
                        });
        List<AgedShares> all = replay().shares().get(KEY);
        then(replay().covered()).isEqualTo(HEARTBEAT.multipliedBy(9));
        then(all.stream().map(s -> s.minAge().toSeconds())).containsExactly(9L, 4L, 2L);
    }

    @Test
    void replay_withoutChangesCoversNothing() {
        then(replay().covered()).isZero();
        then(replay().shares()).isEmpty();
    }

    /** Replays an outage of the store in which entries expire, of engines that go on running. */
    @Test
    void entries_thatExpiredAndReturnedAreKnownAndAgeAsBefore() {
        for (int i = 0; i < 6; i++) {
            write("e1", EARLIER, "v1");
            write("e2", EARLIER, "v2");
        }
        List.of("e1", "e2", "e3").forEach(this::remove);
        for (int i = 0; i < 6; i++) {
            write("e1", LATER, "v1");
            write("e2", LATER, "v2");
            write("e3", LATER, "v2");
        }
        then(shares().get(0)).isEqualTo(Map.of("v1", 1, "v2", 2));
        then(replay().covered()).isEqualTo(HEARTBEAT.multipliedBy(10));
    }

    @Test
    void engine_thatReturnedAfterItStartedAgainIsUnknownBefore() {
        long born = 1_000_000;
        write("e1", EARLIER, "v1");
        remove("e2");
        Engine restarted =
                new Engine(
                        "e2",
                        born,
                        "llm",
                        "v2",
                        "10.0.0.1",
                        80,
                        "d",
                        4,
                        false,
                        0,
                        Set.of("m"),
                        Map.of());
        mEvents.add(new Event("e2", LATER, Optional.of(restarted), false));
        VersionReplay.Result sound =
                VersionReplay.replay(
                        mEntries, mEvents, AFTER, HEARTBEAT, new VersionReplay.Times(0, born + 1));
        then(sound.shares().get(KEY).get(0).shares().engines()).isEqualTo(Map.of("v1", 1, "v2", 1));
        VersionReplay.Result result =
                VersionReplay.replay(
                        mEntries, mEvents, AFTER, HEARTBEAT, new VersionReplay.Times(0, born));
        then(result.shares().get(KEY).stream().map(s -> s.shares().engines()))
                .containsExactly(Map.of("v1", 1), Map.of("v1", 1, "v2", 1));
    }

    @Test
    void engine_thatStartedAgainWithoutARemovalIsUnknownBefore() {
        write("e1", EARLIER, "v1");
        VersionReplay.Result result =
                VersionReplay.replay(
                        mEntries, mEvents, AFTER, HEARTBEAT, new VersionReplay.Times(0, 1));
        then(result.covered()).isZero();
        then(result.shares().get(KEY)).hasSize(1);
    }

    private void writeCount(String id, long count) {
        Engine e =
                new Engine(
                        id,
                        0,
                        "llm",
                        "v1",
                        "10.0.0.1",
                        80,
                        "d",
                        4,
                        false,
                        count,
                        Set.of("m"),
                        Map.of());
        mEvents.add(new Event(id, EARLIER, Optional.of(e), false));
    }

    private Duration covered(long nowMillis) {
        VersionReplay.Times times = new VersionReplay.Times(nowMillis, Long.MAX_VALUE);
        return VersionReplay.replay(mEntries, mEvents, AFTER, HEARTBEAT, times).covered();
    }

    /** Replays load under which half of the heartbeats leave the entries as they were. */
    @Test
    void age_isThatOfTheHeartbeatsThatEntriesCount() {
        for (int i = 20; i <= 36; i += 2) {
            writeCount("e1", i);
            writeCount("e2", i);
        }
        then(covered(37_000)).isEqualTo(HEARTBEAT.multipliedBy(16));
    }

    /** The same engine counts orders, many or few. */
    @Test
    void age_isThatOfTheWritesIfEntriesCountSomethingElse() {
        for (int i = 20; i <= 36; i += 2) {
            writeCount("e1", i);
            writeCount("e2", i);
        }
        Duration byWrites = HEARTBEAT.multipliedBy(8);
        then(covered(30_000)).isEqualTo(byWrites);
        then(covered(60_000)).isEqualTo(byWrites);
        then(covered(0)).isEqualTo(byWrites);
    }
}
