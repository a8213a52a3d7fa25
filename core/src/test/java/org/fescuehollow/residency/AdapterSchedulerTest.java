package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.EngineState;
import org.junit.jupiter.api.Test;

class AdapterSchedulerTest {
    private static final AdapterKey A = new AdapterKey("m", "a1");
    private static final AdapterKey B = new AdapterKey("m", "a2");
    private static final AdapterKey C = new AdapterKey("m", "a3");
    private static final long FOREVER = Long.MAX_VALUE / 2;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private static AdapterScheduler scheduler(int places, Map<AdapterKey, Long> present) {
        return new AdapterScheduler(
                places,
                Optional.of("m"),
                new EngineState(0, 0, 0, 0, 0, Set.of("m"), present, Map.of()));
    }

    @Test
    void nextOrder_loadsTheBaseModelOfAnEmptyEngineFirst() {
        // GIVEN an engine that came back without its model, and a request for an adapter
        AdapterScheduler keeper =
                new AdapterScheduler(
                        2,
                        Optional.of("m"),
                        new EngineState(0, 0, 0, 0, 0, Set.of(), Map.of(), Map.of()));
        keeper.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        // WHEN it is given orders
        AdapterOrder order = nextOrder(keeper, 0).orElseThrow();
        // THEN the model comes first, and nothing else until it is there
        then(order.adapter()).isEqualTo(new AdapterKey("m", ""));
        keeper.onReply(order, OrderReply.UNDER_WAY, 0);
        then(nextOrder(keeper, SECOND / 100)).isEmpty();
        then(keeper.spareSlots(a -> false, SECOND / 100)).isNegative();
        AdapterOrder question = nextOrder(keeper, SECOND / 5).orElseThrow();
        then(question.statusQuery()).isTrue();
        keeper.onReply(question, OrderReply.HOLDS, SECOND / 5);
        then(nextOrder(keeper, SECOND / 5).orElseThrow().adapter()).isEqualTo(A);
    }

    private static Optional<AdapterOrder> nextOrder(AdapterScheduler keeper, long now) {
        return keeper.nextOrder(a -> false, a -> true, a -> SECOND / 20, now);
    }

    @Test
    void nextOrder_loadsARequestedAdapterIntoAFreeSlot() {
        AdapterScheduler keeper = scheduler(2, Map.of());
        keeper.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        AdapterOrder order = nextOrder(keeper, 0).orElseThrow();
        then(order.action()).isEqualTo(AdapterOrder.Action.LOAD);
        keeper.onReply(order, OrderReply.UNDER_WAY, 0);
        then(keeper.loadedAdapters()).isEmpty();
        then(nextOrder(keeper, 1)).isEmpty();
        AdapterOrder question = nextOrder(keeper, SECOND / 10).orElseThrow();
        then(question.statusQuery()).isTrue();
        keeper.onReply(question, OrderReply.HOLDS, SECOND / 10);
        then(keeper.loadedAdapters()).containsOnlyKeys(A);
    }

    @Test
    void nextOrder_evictsTheLeastRecentlyUsed() {
        AdapterScheduler keeper = scheduler(2, Map.of(A, 1L, B, 1L));
        keeper.recordUse(A, 5 * SECOND);
        keeper.recordUse(B, 4 * SECOND);
        keeper.addDemand(new AdapterDemand(C, 0, 0, FOREVER), 6 * SECOND);
        AdapterOrder order = nextOrder(keeper, 6 * SECOND).orElseThrow();
        then(order).isEqualTo(new AdapterOrder(AdapterOrder.Action.UNLOAD, B, 0, false));
        keeper.onReply(order, OrderReply.HOLDS, 6 * SECOND);
        then(nextOrder(keeper, 6 * SECOND).orElseThrow().adapter()).isEqualTo(C);
    }

    @Test
    void nextOrder_keepsAFrequentlyUsedAdapterOverARecentRareOne() {
        // GIVEN an adapter that was in use most of the time and one that was used once, later
        AdapterScheduler keeper = scheduler(2, Map.of(A, 1L, B, 1L));
        for (int i = 0; i < 50; i++) {
            keeper.sampleUsage(a -> a.equals(A), i * SECOND / 10);
        }
        keeper.recordUse(A, 5 * SECOND);
        keeper.sampleUsage(a -> a.equals(B), 5 * SECOND + SECOND / 10);
        keeper.recordUse(B, 5 * SECOND + SECOND / 10);
        // WHEN a third is wanted
        keeper.addDemand(new AdapterDemand(C, 0, 0, FOREVER), 6 * SECOND);
        // THEN the rare one leaves
        then(nextOrder(keeper, 6 * SECOND).orElseThrow().adapter()).isEqualTo(B);
    }

    @Test
    void nextOrder_loadsForUrgentRequestsFirst() {
        AdapterScheduler keeper = scheduler(2, Map.of());
        keeper.addDemand(new AdapterDemand(A, 0, 1, FOREVER), 0);
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 0);
        then(nextOrder(keeper, 0).orElseThrow().adapter()).isEqualTo(B);
    }

    @Test
    void nextOrder_pollsALoadWhenItMayBeDone() {
        AdapterScheduler keeper = scheduler(2, Map.of());
        keeper.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        keeper.onReply(nextOrder(keeper, 0).orElseThrow(), OrderReply.UNDER_WAY, 0);
        // GIVEN loads that take a quarter of a second, or a tenth of it from the engine's own copy
        long expected = SECOND / 4;
        then(keeper.nextOrder(a -> false, a -> true, a -> expected, SECOND / 40)).isPresent();
        then(keeper.nextOrder(a -> false, a -> true, a -> expected, SECOND / 10)).isEmpty();
        then(keeper.nextOrder(a -> false, a -> true, a -> expected, SECOND / 4)).isPresent();
    }

    @Test
    void nextOrder_keepsAdaptersInUse() {
        AdapterScheduler keeper = scheduler(1, Map.of(A, 1L));
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND);
        then(keeper.nextOrder(a -> a.equals(A), a -> true, a -> SECOND, 9 * SECOND)).isEmpty();
    }

    @Test
    void nextOrder_keepsARecentlyUsedAdapter() {
        AdapterScheduler keeper = scheduler(1, Map.of(A, 1L));
        keeper.recordUse(A, 9 * SECOND);
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND);
        then(nextOrder(keeper, 9 * SECOND)).isEmpty();
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND + SECOND / 5);
        then(nextOrder(keeper, 9 * SECOND + SECOND / 5)).isPresent();
    }

    @Test
    void onReply_countsAnUnansweredOrderAsAccepted() {
        // GIVEN one place and an order to load that got no answer
        AdapterScheduler keeper = scheduler(1, Map.of());
        keeper.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        keeper.onReply(nextOrder(keeper, 0).orElseThrow(), OrderReply.UNKNOWN, 0);
        // WHEN another adapter is wanted
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), SECOND / 10);
        // THEN the place counts as taken: too many adapters would crash the engine
        then(nextOrder(keeper, SECOND / 10).orElseThrow().adapter()).isEqualTo(A);
    }

    @Test
    void nextOrder_replacesAnOlderVersion() {
        AdapterScheduler keeper = scheduler(1, Map.of(A, 1L));
        keeper.addDemand(new AdapterDemand(A, 2, 0, FOREVER), 0);
        AdapterOrder order = nextOrder(keeper, 0).orElseThrow();
        then(order).isEqualTo(new AdapterOrder(AdapterOrder.Action.LOAD, A, 2, false));
        keeper.onReply(order, OrderReply.UNDER_WAY, 0);
        then(keeper.loadedAdapters()).isEmpty();
    }

    @Test
    void nextOrder_waitsWhileTheStoreIsSaturated() {
        AdapterScheduler keeper = scheduler(1, Map.of(A, 1L));
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND);
        then(keeper.nextOrder(a -> false, a -> false, a -> SECOND, 9 * SECOND)).isEmpty();
    }

    @Test
    void addDemand_expiresUnlessRepeated() {
        AdapterScheduler keeper = scheduler(1, Map.of());
        keeper.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        then(nextOrder(keeper, 2 * SECOND)).isEmpty();
    }

    @Test
    void reloadOrder_reloadsTheAdapter() {
        AdapterScheduler keeper = scheduler(2, Map.of(A, 1L));
        AdapterOrder order = keeper.reloadOrder(a -> false, SECOND).orElseThrow();
        keeper.onReply(order, OrderReply.HOLDS, SECOND);
        then(nextOrder(keeper, SECOND).orElseThrow())
                .isEqualTo(new AdapterOrder(AdapterOrder.Action.LOAD, A, 0, false));
    }

    @Test
    void nextOrder_unloadsOneAdapterAtATime() {
        // GIVEN an engine that waits for the runs of an adapter which is to leave
        AdapterScheduler keeper = scheduler(2, Map.of(A, 1L, B, 1L));
        keeper.addDemand(new AdapterDemand(C, 0, 0, FOREVER), 0);
        AdapterOrder unload = nextOrder(keeper, 0).orElseThrow();
        keeper.onReply(unload, OrderReply.UNDER_WAY, 0);
        // WHEN one more adapter is wanted
        AdapterKey more = new AdapterKey("m", "a4");
        keeper.addDemand(new AdapterDemand(more, 0, 0, FOREVER), SECOND / 10);
        AdapterOrder next = nextOrder(keeper, SECOND / 10).orElseThrow();
        // THEN the engine is only asked about the first, as it would refuse another
        then(next.statusQuery()).isTrue();
        then(next.adapter()).isEqualTo(unload.adapter());
    }

    @Test
    void nextOrder_keepsANewAdapterUntilItsRequestCanArrive() {
        // GIVEN a full engine to which an adapter came a moment ago, and a want for another
        AdapterScheduler keeper = scheduler(1, Map.of());
        keeper.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        keeper.onReply(nextOrder(keeper, 0).orElseThrow(), OrderReply.HOLDS, SECOND);
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), SECOND + SECOND / 10);
        // THEN it stays while the request for it may still be on its way
        then(nextOrder(keeper, SECOND + SECOND * 3 / 10)).isEmpty();
        // WHEN that time is over
        keeper.addDemand(new AdapterDemand(B, 0, 0, FOREVER), SECOND + SECOND * 4 / 10);
        // THEN it makes room
        then(nextOrder(keeper, SECOND + SECOND * 4 / 10).orElseThrow().adapter()).isEqualTo(A);
    }
}
