package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.fescuehollow.catalog.AdapterKey;
import org.junit.jupiter.api.Test;

class WaitQueueTest {
    private static CallNeeds call(String id, int rank, long arrived, long target) {
        return new CallNeeds(
                id, "s", AdapterKey.NONE, 0, 0, 0, List.of(), rank, arrived, target, 1_000, false);
    }

    private static List<String> order(long now, CallNeeds... calls) {
        WaitQueue<CallNeeds> queue = new WaitQueue<>(Function.identity());
        List.of(calls).forEach(queue::add);
        List<String> order = new ArrayList<>();
        queue.offer(c -> order.add(c.id()), now);
        then(queue.size()).isZero();
        return order;
    }

    @Test
    void offer_goesByRankThenByArrival() {
        then(order(0, call("c", 1, 0, 9), call("b", 0, 2, 9), call("a", 0, 1, 9)))
                .containsExactly("a", "b", "c");
    }

    @Test
    void offer_putsThoseThatMissedTheirObjectiveBehind() {
        then(order(5, call("late", 0, 0, 4), call("early", 0, 1, 9)))
                .containsExactly("early", "late");
    }

    @Test
    void offer_keepsWhatIsNotTaken() {
        WaitQueue<CallNeeds> queue = new WaitQueue<>(Function.identity());
        queue.add(call("a", 0, 0, 9));
        queue.offer(c -> false, 0);
        then(queue.size()).isEqualTo(1);
    }

    @Test
    void offer_leavesOutThoseThatNothingChangedFor() {
        WaitQueue<CallNeeds> queue = new WaitQueue<>(Function.identity());
        queue.add(call("a", 0, 0, 9));
        queue.add(call("b", 0, 0, 9));
        List<String> offered = new ArrayList<>();
        queue.offer(c -> c.id().equals("b"), c -> offered.add(c.id()), 0);
        then(offered).containsExactly("b");
        then(queue.size()).isEqualTo(1);
    }
}
