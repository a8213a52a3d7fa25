package org.fescuehollow.versions;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class VersionHistoryTest {
    private static final Duration DELAY = Duration.ofMillis(1_500);
    private static final Duration WINDOW = Duration.ofSeconds(15).plus(DELAY);
    private static final VersionShares ONLY_V1 = new VersionShares(Map.of("v1", 2));
    private static final VersionShares BOTH = new VersionShares(Map.of("v1", 2, "v2", 2));
    private static final VersionShares ONLY_V2 = new VersionShares(Map.of("v2", 2));

    /** Streams that begin at v1 and v2 while both serve. */
    private static final String STAYS = idOf("v1");

    private static final String MOVES = idOf("v2");

    private final VersionHistory mHistory = new VersionHistory(DELAY, 0);

    private static String idOf(String version) {
        return IntStream.range(0, 100)
                .mapToObj(i -> "id-" + i)
                .filter(i -> BOTH.pick(i).orElseThrow().equals(version))
                .findFirst()
                .orElseThrow();
    }

    private static long seconds(double s) {
        return (long) (s * 1e9);
    }

    @Test
    void pick_changesAfterTheAdoptionDelay() {
        mHistory.onRead(ONLY_V1, 0);
        mHistory.onRead(BOTH, seconds(10));
        then(mHistory.pick(MOVES, seconds(11.4))).contains("v1");
        then(mHistory.pick(MOVES, seconds(11.5))).contains("v2");
        then(mHistory.pick(STAYS, seconds(11.5))).contains("v1");
    }

    @Test
    void pick_adoptsTheFirstVersionAtOnce() {
        then(mHistory.pick(MOVES, 0)).isEmpty();
        mHistory.onRead(ONLY_V1, 0);
        then(mHistory.pick(MOVES, 0)).contains("v1");
    }

    /** Guards against a fresh node that begins streams by shares that no other node has read. */
    @Test
    void pick_amongSeveralFirstVersionsWaitsUntilOthersHaveReadThem() {
        mHistory.onRead(BOTH, 0);
        then(mHistory.pick(MOVES, seconds(1.4))).isEmpty();
        then(mHistory.pick(MOVES, seconds(1.5))).contains("v2");
    }

    @Test
    void pick_leavesAVersionThatCannotBeUsedAtOnce() {
        mHistory.onRead(BOTH, 0);
        then(mHistory.pick(STAYS, v -> !v.equals("v1"), seconds(5))).contains("v2");
        then(mHistory.pick(STAYS, v -> false, seconds(5))).isEmpty();
    }

    @Test
    void pick_usesAPendingVersionIfNoneOfTheAdoptedCanBeUsed() {
        mHistory.onRead(ONLY_V1, 0);
        mHistory.onRead(BOTH, seconds(10));
        then(mHistory.pick(STAYS, v -> v.equals("v2"), seconds(10.1))).contains("v2");
    }

    @Test
    void shares_withoutEnginesAreIgnored() {
        mHistory.onRead(ONLY_V1, 0);
        mHistory.onRead(VersionShares.NONE, seconds(20));
        then(mHistory.pick(MOVES, seconds(30))).contains("v1");
        mHistory.onRead(ONLY_V1, seconds(31));
        then(mHistory.derive(MOVES, WINDOW, seconds(31))).contains("v1");
    }

    @Test
    void derive_needsTheWholeWindow() {
        mHistory.onRead(ONLY_V1, 0);
        // THEN others may go on by shares from before the first read for an adoption delay
        then(mHistory.derive(MOVES, WINDOW, seconds(17.9))).isEmpty();
        then(mHistory.derive(MOVES, WINDOW, seconds(18))).contains("v1");
        then(mHistory.single(WINDOW, seconds(18))).contains("v1");
    }

    @Test
    void derive_isEmptyWhileSharesOfTheWindowDiffer() {
        mHistory.onRead(ONLY_V1, 0);
        mHistory.onRead(BOTH, seconds(60));
        // THEN shares that aren't adopted here yet count as well
        then(mHistory.isAmbiguous(MOVES, WINDOW, seconds(60))).isTrue();
        then(mHistory.isAmbiguous(STAYS, WINDOW, seconds(60))).isFalse();
        then(mHistory.derive(STAYS, WINDOW, seconds(60))).contains("v1");
        then(mHistory.derive(MOVES, WINDOW, seconds(106))).isEmpty();
        then(mHistory.derive(MOVES, WINDOW, seconds(107))).contains("v2");
        then(mHistory.single(WINDOW, seconds(107))).isEmpty();
    }

    /** Guards against shares that came and went between two reads of the store. */
    @Test
    void derive_countsSharesThatWereReplacedAtOnce() {
        mHistory.onRead(ONLY_V1, 0);
        mHistory.onRead(BOTH, seconds(60));
        mHistory.onRead(ONLY_V1, seconds(60));
        then(mHistory.isAmbiguous(MOVES, WINDOW, seconds(61))).isTrue();
        then(mHistory.single(WINDOW, seconds(61))).isEmpty();
    }

    @Test
    void derive_isEmptyForAWindowOfDroppedShares() {
        mHistory.onRead(ONLY_V1, 0);
        IntStream.rangeClosed(1, VersionHistory.MAX_SHARES)
                .mapToObj(i -> new VersionShares(Map.of("v1", i + 2)))
                .forEach(s -> mHistory.onRead(s, seconds(60)));
        then(mHistory.derive(STAYS, WINDOW, seconds(61))).isEmpty();
        then(mHistory.derive(STAYS, WINDOW, seconds(60) + WINDOW.plus(DELAY).toNanos()))
                .contains("v1");
    }

    @Test
    void gap_makesWhatWasBeforeUnknown() {
        mHistory.onRead(ONLY_V1, 0);
        mHistory.onGap(seconds(60));
        then(mHistory.derive(STAYS, WINDOW, seconds(77.9))).isEmpty();
        then(mHistory.derive(STAYS, WINDOW, seconds(78))).contains("v1");
        then(mHistory.pick(STAYS, seconds(60))).contains("v1");
    }

    @Test
    void seed_tellsTheSharesBeforeTheFirstRead() {
        mHistory.onRead(BOTH, seconds(100));
        mHistory.seed(
                List.of(
                        new AgedShares(ONLY_V1, Duration.ofSeconds(18)),
                        new AgedShares(BOTH, Duration.ofSeconds(5))),
                Duration.ofSeconds(18),
                seconds(100),
                seconds(100.2));
        // THEN the newer shares are adopted, and the older ones still count for open streams
        then(mHistory.pick(MOVES, seconds(100.2))).contains("v2");
        then(mHistory.derive(STAYS, WINDOW, seconds(100.2))).contains("v1");
        then(mHistory.derive(MOVES, WINDOW, seconds(100.2))).isEmpty();
    }

    /** Guards against older shares that replace those of the listing. */
    @Test
    void seed_withoutAgePrecedesTheListing() {
        mHistory.onRead(ONLY_V2, seconds(100));
        mHistory.seed(
                List.of(
                        new AgedShares(BOTH, Duration.ofSeconds(18)),
                        new AgedShares(ONLY_V1, Duration.ZERO),
                        new AgedShares(ONLY_V2, Duration.ZERO)),
                Duration.ofSeconds(18),
                seconds(100),
                seconds(100.2));
        then(mHistory.pick(STAYS, seconds(101.5))).contains("v2");
    }

    @Test
    void seed_withoutAgeAdoptsNothing() {
        mHistory.onRead(ONLY_V2, seconds(100));
        mHistory.seed(
                List.of(
                        new AgedShares(ONLY_V1, Duration.ofSeconds(18)),
                        new AgedShares(ONLY_V2, Duration.ZERO)),
                Duration.ofSeconds(18),
                seconds(100),
                seconds(100.2));
        then(mHistory.pick(STAYS, seconds(100.2))).contains("v1");
        then(mHistory.pick(STAYS, v -> v.equals("v2"), seconds(100.2))).contains("v2");
        then(mHistory.pick(STAYS, seconds(101.5))).contains("v2");
    }
}
