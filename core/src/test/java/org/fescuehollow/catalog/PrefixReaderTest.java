package org.fescuehollow.catalog;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import org.fescuehollow.catalog.PrefixReader.Answer;
import org.fescuehollow.catalog.PrefixReader.Call;
import org.fescuehollow.catalog.PrefixReader.Change;
import org.junit.jupiter.api.Test;

class PrefixReaderTest {
    private static final int PAGE_ITEMS = 3;
    private static final int KEYS = 10;

    private final PrefixReader<Entry> mReader = new PrefixReader<>();
    private final ModelStore mStore = new ModelStore();

    /** An entry, or its removal if the value is negative. */
    private record Entry(String key, int value) {}

    private record Write(long revision, Entry entry) {}

    /** A store that keeps its whole history and can return to an earlier revision. */
    private static final class ModelStore {
        private List<Write> mWrites = new ArrayList<>();
        private long mEra = 7;
        private boolean mNamesEra = true;

        long revision() {
            return mWrites.size();
        }

        void write(Entry entry) {
            mWrites.add(new Write(revision() + 1, entry));
        }

        void returnTo(long revision) {
            mWrites = new ArrayList<>(mWrites.subList(0, (int) revision));
            mEra++;
        }

        Map<String, Integer> entries() {
            Map<String, Integer> entries = new TreeMap<>();
            mWrites.forEach(w -> apply(entries, w.entry()));
            return entries;
        }

        /** Answers a call; empty if the history that it asks for doesn't exist. */
        Optional<Answer<Entry>> answer(Call call) {
            if (call.watch() && call.afterRevision() > revision()) {
                return Optional.empty();
            }
            List<Entry> items =
                    call.watch()
                            ? mWrites.stream()
                                    .filter(w -> w.revision() > call.afterRevision())
                                    .map(Write::entry)
                                    .toList()
                            : entries().entrySet().stream()
                                    .filter(e -> e.getKey().compareTo(call.afterKey()) > 0)
                                    .map(e -> new Entry(e.getKey(), e.getValue()))
                                    .toList();
            boolean truncated = !call.watch() && items.size() > PAGE_ITEMS;
            List<Entry> page = truncated ? items.subList(0, PAGE_ITEMS) : items;
            String lastKey = page.isEmpty() ? "" : page.get(page.size() - 1).key();
            return Optional.of(
                    new Answer<>(era(), revision(), lastKey, truncated, List.copyOf(page)));
        }

        OptionalLong era() {
            return mNamesEra ? OptionalLong.of(mEra) : OptionalLong.empty();
        }
    }

    private static void apply(Map<String, Integer> entries, Entry entry) {
        if (entry.value() < 0) {
            entries.remove(entry.key());
        } else {
            entries.put(entry.key(), entry.value());
        }
    }

    private static void apply(Map<String, Integer> believed, Change<Entry> change) {
        if (change.complete()) {
            believed.clear();
        }
        change.items().forEach(e -> apply(believed, e));
    }

    private static Entry entry(Random random) {
        int value = random.nextInt(4) == 0 ? -1 : random.nextInt(1_000);
        return new Entry("k" + random.nextInt(KEYS), value);
    }

    /** An answer that is still under way. */
    private record UnderWay(Call call, Optional<Answer<Entry>> answer, OptionalLong era) {}

    private void deliver(UnderWay answer, Map<String, Integer> believed) {
        answer.answer()
                .ifPresentOrElse(
                        a -> mReader.onAnswer(answer.call(), a).ifPresent(c -> apply(believed, c)),
                        () -> mReader.onHistoryGone(answer.call(), answer.era()));
    }

    private static UnderWay ask(ModelStore store, Call call) {
        return new UnderWay(call, store.answer(call), store.era());
    }

    /**
     * Random writes and returns of the store; answers are lost, late and out of order as far as
     * overtaken calls make them so. In the end the reader knows what the store holds.
     */
    @Test
    void reader_knowsTheStoreAfterRandomReturns() {
        for (int seed = 0; seed < 2_000; seed++) {
            PrefixReaderTest run = new PrefixReaderTest();
            then(run.believedAfterRandomReturns(new Random(seed)))
                    .as("seed %d", seed)
                    .isEqualTo(run.mStore.entries());
        }
    }

    private Map<String, Integer> believedAfterRandomReturns(Random random) {
        Map<String, Integer> believed = new TreeMap<>();
        List<UnderWay> answers = new ArrayList<>();
        for (int step = 0; step < 120; step++) {
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> mStore.write(entry(random));
                case 3 -> {
                    if (random.nextInt(6) == 0) {
                        long back = random.nextInt(8);
                        mStore.returnTo(Math.max(0, mStore.revision() - back));
                    }
                }
                case 4, 5 -> answers.add(ask(mStore, mReader.nextCall()));
                default -> deliverNext(random, answers, believed);
            }
        }
        for (int i = 0; i < 20; i++) {
            deliver(ask(mStore, mReader.nextCall()), believed);
        }
        return believed;
    }

    /** Delivers one answer; all others under way are then overtaken or, at random, stay. */
    private void deliverNext(Random random, List<UnderWay> answers, Map<String, Integer> believed) {
        if (answers.isEmpty()) {
            return;
        }
        UnderWay answer = answers.remove(random.nextInt(answers.size()));
        long before = mReader.era().orElse(0);
        deliver(answer, believed);
        then(mReader.era().orElse(0)).isGreaterThanOrEqualTo(before);
        answers.removeIf(a -> a.era().equals(answer.era()));
    }

    private Change<Entry> read(Call call) {
        return mReader.onAnswer(call, mStore.answer(call).orElseThrow()).orElseThrow();
    }

    private void listAll() {
        while (!mReader.isWatching()) {
            mReader.onAnswer(mReader.nextCall(), mStore.answer(mReader.nextCall()).orElseThrow());
        }
    }

    private void writeKeys(int count) {
        for (int i = 0; i < count; i++) {
            mStore.write(new Entry("k" + i, i));
        }
    }

    @Test
    void watch_listsAgainIfTheStoreClimbedPastItsRevision() {
        // GIVEN a reader that watches, and a store that returns and writes other entries again
        writeKeys(2);
        then(read(mReader.nextCall()).complete()).isTrue();
        mStore.returnTo(1);
        mStore.write(new Entry("k8", 8));
        mStore.write(new Entry("k9", 9));
        // WHEN the watch goes on from its revision, which exists again
        Call watch = mReader.nextCall();
        then(mReader.onAnswer(watch, mStore.answer(watch).orElseThrow())).isEmpty();
        // THEN all entries are listed
        Change<Entry> change = read(mReader.nextCall());
        then(change.complete()).isTrue();
        then(change.returned()).isTrue();
        then(change.items()).contains(new Entry("k8", 8), new Entry("k9", 9));
    }

    @Test
    void listing_startsAgainIfTheStoreReturnsBetweenPages() {
        writeKeys(2 * PAGE_ITEMS);
        Call first = mReader.nextCall();
        then(mReader.onAnswer(first, mStore.answer(first).orElseThrow())).isEmpty();
        mStore.returnTo(1);
        Call second = mReader.nextCall();
        then(mReader.onAnswer(second, mStore.answer(second).orElseThrow())).isEmpty();
        then(read(mReader.nextCall()).items()).containsExactly(new Entry("k0", 0));
    }

    @Test
    void listing_ofManyPagesIsNoReturn() {
        writeKeys(2 * PAGE_ITEMS + 1);
        listAll();
        then(mReader.returnCount()).isZero();
    }

    @Test
    void answer_ofAnOlderEraIsDropped() {
        writeKeys(2);
        Call early = mReader.nextCall();
        Answer<Entry> late = mStore.answer(early).orElseThrow();
        then(read(early).complete()).isTrue();
        mStore.returnTo(0);
        Call watch = mReader.nextCall();
        then(mStore.answer(watch)).isEmpty();
        mReader.onHistoryGone(watch, mStore.era());
        then(mReader.onAnswer(mReader.nextCall(), late)).isEmpty();
        then(read(mReader.nextCall()).items()).isEmpty();
    }

    @Test
    void answer_withoutAnEraIsOfTheEraOfItsCall() {
        mStore.mNamesEra = false;
        writeKeys(2);
        listAll();
        mStore.write(new Entry("k5", 5));
        then(read(mReader.nextCall()).items()).containsExactly(new Entry("k5", 5));
        then(mReader.era()).isEmpty();
    }

    @Test
    void historyGone_ofAnOverlappingCallStartsOneListing() {
        writeKeys(1);
        listAll();
        Call watch = mReader.nextCall();
        mReader.onHistoryGone(watch, mStore.era());
        Call listing = mReader.nextCall();
        mReader.onHistoryGone(watch, mStore.era());
        then(mReader.nextCall()).isEqualTo(listing);
    }

    @Test
    void returned_isSetForTheFirstListingOnly() {
        writeKeys(1);
        listAll();
        mStore.returnTo(0);
        mReader.onHistoryGone(mReader.nextCall(), mStore.era());
        then(read(mReader.nextCall()).returned()).isTrue();
        mReader.onHistoryGone(mReader.nextCall(), mStore.era());
        then(read(mReader.nextCall()).returned()).isFalse();
        then(mReader.returnCount()).isEqualTo(1);
    }
}
