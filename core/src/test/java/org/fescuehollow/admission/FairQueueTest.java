package org.fescuehollow.admission;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fescuehollow.model.Priority;
import org.junit.jupiter.api.Test;

class FairQueueTest {
    private final FairQueue<String> mQueue = new FairQueue<>();

    @Test
    void poll_delaysOnlyTheTeamThatFloodsTheQueue() {
        // GIVEN
        IntStream.range(0, 100).forEach(i -> mQueue.offer(Priority.STANDARD, "flood", 1, "f" + i));
        mQueue.offer(Priority.STANDARD, "rival", 1, "r0");
        mQueue.offer(Priority.STANDARD, "rival", 1, "r1");
        // WHEN
        List<String> first = Stream.generate(this::next).limit(4).toList();
        // THEN
        then(first).containsExactly("f0", "r0", "f1", "r1");
    }

    @Test
    void poll_servesTeamsInProportionToWeight() {
        // GIVEN
        IntStream.range(0, 30).forEach(i -> mQueue.offer(Priority.BULK, "one", 1, "one"));
        IntStream.range(0, 30).forEach(i -> mQueue.offer(Priority.BULK, "two", 2, "two"));
        // WHEN
        long two = Stream.generate(this::next).limit(30).filter("two"::equals).count();
        // THEN
        then(two).isBetween(19L, 21L);
    }

    @Test
    void poll_takesInteractiveWorkFirst() {
        // GIVEN
        mQueue.offer(Priority.BULK, "a", 1, "letter");
        mQueue.offer(Priority.INTERACTIVE, "a", 1, "check");
        // WHEN / THEN
        then(next()).isEqualTo("check");
        then(next()).isEqualTo("letter");
        then(mQueue.size()).isZero();
    }

    private String next() {
        return mQueue.poll(x -> true).orElseThrow();
    }
}
