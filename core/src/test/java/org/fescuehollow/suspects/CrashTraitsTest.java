package org.fescuehollow.suspects;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CrashTraitsTest {
    private static final long CRASHING = 1;
    private static final long SHARED = 2;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final CrashTraits mTraits = new CrashTraits();

    private void crash(int crash, long nanos, Long... traits) {
        mTraits.onCrash(List.of(traits), crash, nanos);
    }

    private void answer(int engine, long sentNanos, long nanos, Long... traits) {
        mTraits.onAnswered(List.of(traits), engine, sentNanos, nanos);
    }

    private Optional<Long> findBlocked(long nanos, Long... traits) {
        return mTraits.findBlocked(Set.of(traits), nanos);
    }

    @Test
    void trait_isBlockedAfterThreeCrashes() {
        crash(1, 0, CRASHING, SHARED);
        crash(2, SECOND_NANOS, CRASHING, SHARED);
        then(findBlocked(SECOND_NANOS, CRASHING, SHARED)).isEmpty();
        crash(3, 2 * SECOND_NANOS, CRASHING, SHARED);
        then(findBlocked(2 * SECOND_NANOS, CRASHING, SHARED)).isPresent();
    }

    @Test
    void request_withOnlyOneOfTheTraitsThatCrashedTogetherIsSent() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * SECOND_NANOS, CRASHING, SHARED);
        }
        then(findBlocked(4 * SECOND_NANOS, SHARED)).isEmpty();
        // Its response clears the shared trait, and the other one is blocked alone.
        answer(100, 0, 5 * SECOND_NANOS, SHARED);
        then(findBlocked(6 * SECOND_NANOS, CRASHING)).isPresent();
        then(findBlocked(6 * SECOND_NANOS, SHARED)).isEmpty();
    }

    @Test
    void trait_thatCrashesWithoutItsCompanionIsBlockedAlone() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * SECOND_NANOS, CRASHING, SHARED);
        }
        crash(4, 4 * SECOND_NANOS, CRASHING);
        then(findBlocked(5 * SECOND_NANOS, CRASHING)).isPresent();
        then(findBlocked(5 * SECOND_NANOS, SHARED)).isEmpty();
    }

    @Test
    void trait_thatIsSharedWithSoundRequestsIsCleared() {
        for (int i = 1; i <= 5; i++) {
            crash(i, i * SECOND_NANOS, CRASHING, SHARED);
            answer(100, 0, i * SECOND_NANOS + 1, SHARED);
        }
        then(mTraits.blocked(6 * SECOND_NANOS)).containsExactly(CRASHING);
    }

    @Test
    void trait_isUnblockedByAResponseThatWasUnderWay() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * SECOND_NANOS, SHARED);
        }
        then(mTraits.isBlocked(SHARED, 3 * SECOND_NANOS)).isTrue();
        answer(100, 0, 4 * SECOND_NANOS, SHARED);
        then(mTraits.isBlocked(SHARED, 4 * SECOND_NANOS)).isFalse();
    }

    @Test
    void crashes_ofManyServersAtOnceBlockNothing() {
        for (int i = 1; i <= 13; i++) {
            crash(i, i, SHARED);
        }
        then(mTraits.blocked(SECOND_NANOS)).isEmpty();
    }

    @Test
    void trait_thatCrashesServersInQuickSuccessionIsBlockedBeforeMostAreDown() {
        long interval = SECOND_NANOS / 7;
        int crashes = 0;
        while (findBlocked(crashes * interval, CRASHING).isEmpty()) {
            crash(crashes, crashes * interval, CRASHING);
            crashes++;
        }
        then(crashes).isLessThanOrEqualTo(5);
    }

    @Test
    void server_thatOnlyResetsConnectionsCountsOnce() {
        for (int i = 1; i <= 20; i++) {
            crash(1, i * SECOND_NANOS, SHARED);
            crash(2, i * SECOND_NANOS, SHARED);
        }
        then(mTraits.blocked(21 * SECOND_NANOS)).isEmpty();
    }

    @Test
    void server_thatAnswersRightAfterwardsDidNotCrash() {
        for (int i = 1; i <= 5; i++) {
            long nanos = i * SECOND_NANOS;
            crash(i, nanos, SHARED);
            answer(i, nanos + 1, nanos + SECOND_NANOS / 2);
        }
        then(mTraits.blocked(6 * SECOND_NANOS)).isEmpty();
    }

    @Test
    void server_thatAnswersWhatItGotBeforeMayHaveCrashed() {
        for (int i = 1; i <= 3; i++) {
            long nanos = i * SECOND_NANOS;
            crash(i, nanos, CRASHING);
            answer(i, nanos - 1, nanos + 1);
        }
        then(mTraits.blocked(4 * SECOND_NANOS)).containsExactly(CRASHING);
    }

    @Test
    void crashes_thatABlockedTraitExplainsCountAgainstNoOther() {
        long victim = 7;
        crash(1, 0, CRASHING);
        for (int i = 2; i <= 4; i++) {
            crash(i, i * SECOND_NANOS, CRASHING, victim);
        }
        then(mTraits.blocked(5 * SECOND_NANOS)).containsExactly(CRASHING);
    }

    @Test
    void trait_thatWasClearedManyTimesIsStillFoundOnceItCrashes() {
        for (int i = 0; i < 40; i++) {
            crash(i, i * SECOND_NANOS, SHARED);
            answer(100, 0, i * SECOND_NANOS + 1, SHARED);
        }
        then(mTraits.blocked(40 * SECOND_NANOS)).isEmpty();
        for (int i = 40; i < 43; i++) {
            crash(i, i * SECOND_NANOS, SHARED);
        }
        then(mTraits.blocked(43 * SECOND_NANOS)).containsExactly(SHARED);
        then(mTraits.find(SHARED).orElseThrow().crashes()).hasSizeLessThan(20);
        answer(100, 0, 44 * SECOND_NANOS, SHARED);
        then(mTraits.blocked(44 * SECOND_NANOS)).isEmpty();
    }

    @Test
    void trait_isForgottenAfterTheRetentionTime() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * SECOND_NANOS, CRASHING);
        }
        long end = 3 * SECOND_NANOS + CrashTraits.RETENTION.toNanos();
        then(mTraits.isBlocked(CRASHING, end - 1)).isTrue();
        then(mTraits.isBlocked(CRASHING, end)).isFalse();
    }

    @Test
    void traits_areBoundedAndTheMostSuspectOnesKept() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * SECOND_NANOS, CRASHING);
        }
        LongStream.range(0, 3L * CrashTraits.MAX_TRAITS)
                .forEach(t -> crash(4, 4 * SECOND_NANOS, 1_000 + t));
        then(mTraits.openSuspicions(Integer.MAX_VALUE)).hasSize(CrashTraits.MAX_TRAITS);
        then(mTraits.isBlocked(CRASHING, 5 * SECOND_NANOS)).isTrue();
    }

    @Test
    void evidence_ofThreeNodesBlocksTheTraitOnEach() {
        List<CrashTraits> nodes = List.of(new CrashTraits(), new CrashTraits(), new CrashTraits());
        for (int i = 0; i < 3; i++) {
            long nanos = i * SECOND_NANOS;
            List<CrashSuspicion> told = nodes.get(i).onCrash(Set.of(CRASHING), i, nanos);
            nodes.forEach(n -> told.forEach(s -> n.merge(s, nanos)));
        }
        then(nodes).allMatch(n -> n.isBlocked(CRASHING, 3 * SECOND_NANOS));
    }

    @Test
    void evidence_thatOthersHaveRefutedIsCorrected() {
        CrashTraits other = new CrashTraits();
        List<CrashSuspicion> stale = mTraits.onCrash(Set.of(SHARED), 1, 0);
        other.merge(stale.get(0), 0);
        other.onAnswered(Set.of(SHARED), 9, 0, 1);
        then(other.find(SHARED).orElseThrow().corrects(stale.get(0))).isTrue();
        mTraits.merge(other.find(SHARED).orElseThrow(), 2);
        then(mTraits.openSuspicions(1)).isEmpty();
    }

    @Property(tries = 200)
    void merge_yieldsTheSameInAnyOrder(
            @ForAll @IntRange(min = 1, max = 12) int count, @ForAll long seed) {
        Random random = new Random(seed);
        List<CrashSuspicion> evidence = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long crash = random.nextInt(5);
            Set<Long> refuted = random.nextBoolean() ? Set.of(crash) : Set.of();
            evidence.add(new CrashSuspicion(CRASHING, Map.of(crash, crash), refuted));
        }
        CrashTraits one = new CrashTraits();
        CrashTraits two = new CrashTraits();
        evidence.forEach(s -> one.merge(s, 10));
        Collections.shuffle(evidence, random);
        evidence.forEach(s -> two.merge(s, 10));
        evidence.forEach(s -> two.merge(s, 10));
        then(two.find(CRASHING)).isEqualTo(one.find(CRASHING));
    }
}
