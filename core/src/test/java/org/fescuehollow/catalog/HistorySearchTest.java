package org.fescuehollow.catalog;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HistorySearchTest {
    private static final Duration HISTORY = Duration.ofSeconds(20);
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final int ENGINES = 17;

    private final List<HistorySearch.Call> mCalls = new ArrayList<>();

    private static HistorySearch search(long revision, int engines) {
        return new HistorySearch(revision, engines, HISTORY, HEARTBEAT);
    }

    /** Returns the revision from which changes were read from a store that keeps some of them. */
    private OptionalLong run(HistorySearch search, long oldestKept) {
        OptionalLong read = OptionalLong.empty();
        for (Optional<HistorySearch.Call> c = search.next(); c.isPresent(); c = search.next()) {
            mCalls.add(c.get());
            if (c.get().after() < oldestKept) {
                search.onGone();
            } else {
                search.onKept();
                read = c.get().withChanges() ? OptionalLong.of(c.get().after()) : read;
            }
        }
        return read;
    }

    /** Changes in 20 s as seen in traces of 17 engines, of which a quarter seldom changes. */
    @ParameterizedTest
    @ValueSource(ints = {120, 134, 150, 166, 187, 201, 221, 229, 300})
    void search_readsMostOfWhatIsKeptUnderLoad(int kept) {
        long read = run(search(10_000, ENGINES), 10_000 - kept).orElseThrow();
        then(10_000 - read).isBetween((long) (kept * 0.7), (long) kept);
    }

    @ParameterizedTest
    @CsvSource({"95, 1200", "300, 4000"})
    void search_growsWithTheFleet(int engines, int kept) {
        long read = run(search(100_000, engines), 100_000 - kept).orElseThrow();
        then(100_000 - read).isBetween((long) (kept * 0.7), (long) kept);
        then(mCalls).hasSize(HistorySearch.MAX_CALLS);
    }

    @Test
    void search_readsChangesOnlyOnce() {
        run(search(10_000, ENGINES), 10_000 - 200);
        then(mCalls.stream().filter(HistorySearch.Call::withChanges)).hasSize(1);
        then(mCalls.get(mCalls.size() - 1).withChanges()).isTrue();
    }

    @Test
    void search_readsAllThatWasEverWrittenWithOneCall() {
        then(run(search(60, ENGINES), 0)).hasValue(0);
        then(mCalls).containsExactly(new HistorySearch.Call(0, true));
    }

    @Test
    void search_goesOnIfTheOldestOfFewChangesAreGone() {
        then(run(search(90, ENGINES), 33).orElseThrow()).isBetween(33L, 46L);
        then(mCalls).hasSize(HistorySearch.MAX_CALLS);
    }

    /** As 24 s after the start of a deployment, with 21 engines listed. */
    @Test
    void search_triesAnOldRevisionFirstIfTheFirstChangesAreProbablyGone() {
        then(run(search(209, 21), 58).orElseThrow()).isBetween(58L, 85L);
        then(mCalls.stream().filter(HistorySearch.Call::withChanges)).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 90, 10_000})
    void search_endsIfNothingIsKept(long revision) {
        then(run(search(revision, ENGINES), revision)).isEmpty();
        then(mCalls.size()).isLessThanOrEqualTo(HistorySearch.MAX_CALLS);
        then(mCalls).allMatch(c -> c.after() >= 0);
    }

    /** The oldest changes are dropped between the last two calls. */
    @Test
    void search_leavesRoomForTheAgeingOfTheHistory() {
        HistorySearch search = search(10_000, ENGINES);
        long kept = 10_000;
        for (int i = 1; i < HistorySearch.MAX_CALLS; i++) {
            kept = search.next().orElseThrow().after();
            search.onKept();
        }
        then(search.next().orElseThrow().after()).isGreaterThan(kept);
    }

    @ParameterizedTest
    @ValueSource(longs = {-1, 0})
    void search_asksNothingWithoutChanges(long revision) {
        then(search(revision, ENGINES).next()).isEmpty();
    }

    /** The entries of all engines expire while the store is away, and return later. */
    @Test
    void search_goesOnIfAllEntriesHaveExpired() {
        then(run(search(500, 0), 350)).isPresent();
    }
}
