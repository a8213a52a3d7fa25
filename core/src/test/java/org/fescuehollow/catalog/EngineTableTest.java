package org.fescuehollow.catalog;

import static java.util.stream.Collectors.toSet;
import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EngineTableTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long GRACE_NANOS = EngineTable.RETURN_GRACE.toNanos();
    private static final Engine ENGINE = engine("e1", 1);

    private final List<String> mEvents = new ArrayList<>();
    private final EngineTable mTable =
            new EngineTable(
                    new EngineTable.Listener() {
                        @Override
                        public void onEngine(Engine engine) {
                            mEvents.add("engine " + engine.id() + ' ' + engine.draining());
                        }

                        @Override
                        public void onGone(Engine engine, String reason) {
                            mEvents.add("gone " + engine.id() + ' ' + reason);
                        }

                        @Override
                        public void onLeaving(Engine engine) {
                            mEvents.add("leaving " + engine.id());
                        }
                    });

    private static Engine engine(String id, long startedMillis) {
        return new Engine(
                id, startedMillis, "s", "v1", "10.0.0.1", 80, "d", 4, false, 0, Set.of(), Map.of());
    }

    private boolean isUsable(String id) {
        return mTable.find(id).filter(e -> !e.draining()).isPresent();
    }

    private void listAfterReturn(long now, Engine... engines) {
        mTable.onListed(Set.of(engines).stream().map(Engine::id).collect(toSet()), now);
        Set.of(engines).forEach(e -> mTable.onEntry(e, true, now));
    }

    @Test
    void entry_missingAfterAReturnStaysForTheGrace() {
        mTable.onEntry(ENGINE, false, 0);
        listAfterReturn(SECOND_NANOS);
        mTable.expire(SECOND_NANOS + GRACE_NANOS - 1);
        then(isUsable("e1")).isTrue();
        mTable.expire(SECOND_NANOS + GRACE_NANOS);
        then(isUsable("e1")).isFalse();
    }

    @Test
    void entry_writtenAgainAfterAReturnStays() {
        mTable.onEntry(ENGINE, false, 0);
        listAfterReturn(SECOND_NANOS);
        mTable.onEntry(ENGINE, false, 2 * SECOND_NANOS);
        mTable.expire(10 * SECOND_NANOS);
        then(isUsable("e1")).isTrue();
    }

    @Test
    void entry_ofADrainingEngineListedReadyStaysDraining() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onEntry(ENGINE.asDraining(), false, SECOND_NANOS);
        listAfterReturn(2 * SECOND_NANOS, ENGINE);
        then(isUsable("e1")).isFalse();
        listAfterReturn(2 * SECOND_NANOS, engine("e1", 2));
        then(isUsable("e1")).isTrue();
    }

    @Test
    void entry_ofAGoneEngineListedByAnOldCopyIsHeldBack() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onRemoved("e1", true, SECOND_NANOS);
        listAfterReturn(2 * SECOND_NANOS, ENGINE);
        then(isUsable("e1")).isFalse();
        // The entry lapses, as nobody writes it.
        mTable.onRemoved("e1", true, 5 * SECOND_NANOS);
        mTable.expire(20 * SECOND_NANOS);
        then(isUsable("e1")).isFalse();
    }

    @Test
    void entry_ofAGoneEngineComesBackIfItIsWrittenAgain() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onRemoved("e1", true, SECOND_NANOS);
        listAfterReturn(2 * SECOND_NANOS, ENGINE);
        mTable.onEntry(ENGINE, false, 3 * SECOND_NANOS);
        then(isUsable("e1")).isTrue();
    }

    @Test
    void entry_ofAGoneEngineComesBackIfItOutlastsItsExpiry() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onRemoved("e1", true, SECOND_NANOS);
        listAfterReturn(2 * SECOND_NANOS, ENGINE);
        long due = 2 * SECOND_NANOS + mTable.expiryDelay(2 * SECOND_NANOS).orElseThrow().toNanos();
        mTable.expire(due - 1);
        then(isUsable("e1")).isFalse();
        mTable.expire(due);
        then(isUsable("e1")).isTrue();
        then(mTable.expiryDelay(due)).isEmpty();
    }

    @Test
    void entry_ofANewIncarnationIsNeverHeldBack() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onRemoved("e1", true, SECOND_NANOS);
        listAfterReturn(2 * SECOND_NANOS, engine("e1", 2));
        then(isUsable("e1")).isTrue();
    }

    @Test
    void entry_ofAnEngineThatIsGoneForLongIsUsedAtOnce() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onRemoved("e1", true, 0);
        listAfterReturn(61 * SECOND_NANOS, ENGINE);
        then(isUsable("e1")).isTrue();
    }

    @Test
    void removal_ofManyEnginesIsNotRememberedForever() {
        for (int i = 0; i < 1_000; i++) {
            mTable.onEntry(engine("e" + i, 1), false, i * SECOND_NANOS);
            mTable.onRemoved("e" + i, true, i * SECOND_NANOS);
        }
        then(mTable.rememberedGone()).isLessThan(100);
    }

    @Test
    void removal_whileTheStoreIsUnstableWaitsForTheGrace() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onRemoved("e1", false, SECOND_NANOS);
        then(isUsable("e1")).isTrue();
        then(mTable.expiryDelay(SECOND_NANOS)).contains(EngineTable.RETURN_GRACE);
        mTable.expire(SECOND_NANOS + GRACE_NANOS);
        then(mEvents).containsExactly("engine e1 false", "gone e1 missing", "leaving e1");
    }

    @Test
    void report_takesAnEngineOutUntilItIsRefuted() {
        mTable.onEntry(ENGINE, false, 0);
        then(mTable.onLeavingReported("e1", 1, 0)).isTrue();
        then(mTable.onLeavingReported("e1", 1, 0)).isFalse();
        then(isUsable("e1")).isFalse();
        then(mTable.dropRefutedReports(Duration.ofSeconds(4), 4 * SECOND_NANOS)).hasSize(1);
        then(isUsable("e1")).isTrue();
    }

    @Test
    void report_thatIsConfirmedIsNotPassedOn() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onLeavingReported("e1", 1, 0);
        mTable.onEntry(ENGINE.asDraining(), false, SECOND_NANOS);
        then(mTable.dropRefutedReports(Duration.ofSeconds(4), 9 * SECOND_NANOS)).isEmpty();
        mTable.onRemoved("e1", true, 9 * SECOND_NANOS);
        then(mEvents).containsExactly("engine e1 false", "gone e1 removed");
    }

    @Test
    void report_doesNotOutlastTheNextEntry() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onLeavingReported("e1", 1, 0);
        mTable.onEntry(ENGINE, false, SECOND_NANOS);
        then(isUsable("e1")).isTrue();
    }

    @Test
    void leaving_isToldOnceByTheNodeThatReadsIt() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onEntry(ENGINE.asDraining(), false, SECOND_NANOS);
        mTable.onEntry(ENGINE.asDraining(), false, SECOND_NANOS);
        mTable.onRemoved("e1", true, 2 * SECOND_NANOS);
        then(mEvents)
                .containsExactly(
                        "engine e1 false", "engine e1 true", "leaving e1", "gone e1 removed");
    }

    @Test
    void engine_thatSaysItIsLeavingStaysOutOfUse() {
        mTable.onEntry(ENGINE, false, 0);
        then(mTable.onLeavingSaid(ENGINE)).isTrue();
        then(isUsable("e1")).isFalse();
        then(mEvents).containsExactly("engine e1 false", "engine e1 true", "leaving e1");
        mTable.onEntry(ENGINE, false, SECOND_NANOS);
        then(isUsable("e1")).isFalse();
        mTable.onRemoved("e1", true, 2 * SECOND_NANOS);
        mTable.onEntry(ENGINE, false, 3 * SECOND_NANOS);
        then(isUsable("e1")).isFalse();
    }

    @Test
    void engine_thatSaysItIsLeavingNeedsNoConfirmationOfReports() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onLeavingReported("e1", 1, 0);
        mTable.onLeavingSaid(ENGINE);
        then(mTable.dropRefutedReports(Duration.ZERO, 5 * SECOND_NANOS)).isEmpty();
        then(isUsable("e1")).isFalse();
    }

    @Test
    void engine_thatSaidItIsLeavingIsUsedAfterItsRestart() {
        mTable.onEntry(ENGINE, false, 0);
        mTable.onLeavingSaid(ENGINE);
        mTable.onEntry(engine("e1", 2), false, SECOND_NANOS);
        then(isUsable("e1")).isTrue();
        then(mTable.onLeavingSaid(ENGINE)).isFalse();
        then(isUsable("e1")).isTrue();
    }
}
