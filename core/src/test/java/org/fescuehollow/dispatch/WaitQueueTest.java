package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.thenThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehollow.catalog.AdapterKey;
import org.junit.jupiter.api.Test;

class WaitQueueTest {
    private static DispatchRequest request(
            String id, int rank, long arrivalNanos, long objectiveNanos) {
        return new DispatchRequest(
                id,
                "s",
                AdapterKey.NONE,
                0,
                0,
                0,
                List.of(),
                rank,
                arrivalNanos,
                objectiveNanos,
                1_000,
                false,
                Optional.empty());
    }

    private static List<String> acceptedOrder(long now, DispatchRequest... requests) {
        WaitQueue<DispatchRequest> queue = new WaitQueue<>(Function.identity());
        List.of(requests).forEach(queue::add);
        List<String> accepted = new ArrayList<>();
        queue.removeAccepted(c -> accepted.add(c.id()), now);
        then(queue.size()).isZero();
        return accepted;
    }

    @Test
    void removeAccepted_ordersByRankThenArrival() {
        then(acceptedOrder(0, request("c", 1, 0, 9), request("b", 0, 2, 9), request("a", 0, 1, 9)))
                .containsExactly("a", "b", "c");
    }

    @Test
    void removeAccepted_putsMissedObjectivesLast() {
        then(acceptedOrder(5, request("late", 0, 0, 4), request("early", 0, 1, 9)))
                .containsExactly("early", "late");
    }

    @Test
    void removeAccepted_keepsRejectedItems() {
        WaitQueue<DispatchRequest> queue = new WaitQueue<>(Function.identity());
        queue.add(request("a", 0, 0, 9));
        queue.removeAccepted(c -> false, 0);
        then(queue.size()).isEqualTo(1);
    }

    @Test
    void removeAccepted_skipsItemsOutsideFilter() {
        WaitQueue<DispatchRequest> queue = new WaitQueue<>(Function.identity());
        queue.add(request("a", 0, 0, 9));
        queue.add(request("b", 0, 0, 9));
        List<String> offered = new ArrayList<>();
        queue.removeAccepted(c -> c.id().equals("b"), c -> offered.add(c.id()), 0);
        then(offered).containsExactly("b");
        then(queue.size()).isEqualTo(1);
    }

    /** Guards against sending a request twice after an exception for another one. */
    @Test
    void removeAccepted_doesNotPassAcceptedItemsAgainAfterAnException() {
        WaitQueue<DispatchRequest> queue = new WaitQueue<>(Function.identity());
        List.of(request("a", 0, 0, 9), request("odd", 0, 1, 9), request("b", 0, 2, 9))
                .forEach(queue::add);
        List<String> accepted = new ArrayList<>();
        thenThrownBy(() -> queue.removeAccepted(c -> acceptUnlessOdd(c, accepted), 0))
                .hasMessage("odd");
        queue.removeAccepted(c -> acceptUnlessOdd(c, accepted), 0);
        then(accepted).containsExactly("a", "b");
        then(queue.size()).isZero();
    }

    private static boolean acceptUnlessOdd(DispatchRequest request, List<String> accepted) {
        if (request.id().equals("odd")) {
            throw new IllegalStateException("odd");
        }
        return accepted.add(request.id());
    }

    /** Guards against sending a request twice if accepting one places another. */
    @Test
    void removeAccepted_passesNoItemTwiceInNestedPasses() {
        WaitQueue<DispatchRequest> queue = new WaitQueue<>(Function.identity());
        List.of(request("a", 0, 0, 9), request("b", 0, 1, 9)).forEach(queue::add);
        List<String> accepted = new ArrayList<>();
        queue.removeAccepted(
                c -> {
                    queue.removeAccepted(n -> accepted.add(n.id()), 0);
                    return accepted.add(c.id());
                },
                0);
        then(accepted).containsExactlyInAnyOrder("a", "b");
    }

    /** Guards against losing a request that waits again by the time it was accepted. */
    @Test
    void removeAccepted_keepsAnItemThatItsAcceptorAddedAgain() {
        WaitQueue<DispatchRequest> queue = new WaitQueue<>(Function.identity());
        queue.add(request("a", 0, 0, 9));
        queue.removeAccepted(
                c -> {
                    queue.add(c);
                    return true;
                },
                0);
        then(queue.size()).isEqualTo(1);
    }
}
