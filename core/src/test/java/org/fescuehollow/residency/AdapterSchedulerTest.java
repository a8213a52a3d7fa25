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

    private static AdapterScheduler scheduler(int slotCount, Map<AdapterKey, Long> loaded) {
        return new AdapterScheduler(
                slotCount,
                Optional.of("m"),
                new EngineState(0, 0, 0, 0, 0, Set.of("m"), loaded, Map.of()));
    }

    @Test
    void nextOrder_loadsTheBaseModelOfAnEmptyEngineFirst() {
        // GIVEN an engine that restarted without its base model, and demand for an adapter
        AdapterScheduler scheduler =
                new AdapterScheduler(
                        2,
                        Optional.of("m"),
                        new EngineState(0, 0, 0, 0, 0, Set.of(), Map.of(), Map.of()));
        scheduler.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        // WHEN the first order is chosen
        AdapterOrder order = nextOrder(scheduler, 0).orElseThrow();
        // THEN it loads the model, and there is no other order until the model is loaded
        then(order.adapter()).isEqualTo(new AdapterKey("m", ""));
        scheduler.onReply(order, OrderReply.UNDER_WAY, 0);
        then(nextOrder(scheduler, SECOND / 100)).isEmpty();
        then(scheduler.spareSlots(a -> false, SECOND / 100)).isNegative();
        AdapterOrder query = nextOrder(scheduler, SECOND / 5).orElseThrow();
        then(query.statusQuery()).isTrue();
        scheduler.onReply(query, OrderReply.HOLDS, SECOND / 5);
        then(nextOrder(scheduler, SECOND / 5).orElseThrow().adapter()).isEqualTo(A);
    }

    private static Optional<AdapterOrder> nextOrder(AdapterScheduler scheduler, long now) {
        return scheduler.nextOrder(a -> false, a -> true, a -> SECOND / 20, now);
    }

    @Test
    void nextOrder_loadsARequestedAdapterIntoAFreeSlot() {
        AdapterScheduler scheduler = scheduler(2, Map.of());
        scheduler.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        AdapterOrder order = nextOrder(scheduler, 0).orElseThrow();
        then(order.action()).isEqualTo(AdapterOrder.Action.LOAD);
        scheduler.onReply(order, OrderReply.UNDER_WAY, 0);
        then(scheduler.loadedAdapters()).isEmpty();
        then(nextOrder(scheduler, 1)).isEmpty();
        AdapterOrder query = nextOrder(scheduler, SECOND / 10).orElseThrow();
        then(query.statusQuery()).isTrue();
        scheduler.onReply(query, OrderReply.HOLDS, SECOND / 10);
        then(scheduler.loadedAdapters()).containsOnlyKeys(A);
    }

    @Test
    void nextOrder_evictsTheLeastRecentlyUsed() {
        AdapterScheduler scheduler = scheduler(2, Map.of(A, 1L, B, 1L));
        scheduler.recordUse(A, 5 * SECOND);
        scheduler.recordUse(B, 4 * SECOND);
        scheduler.addDemand(new AdapterDemand(C, 0, 0, FOREVER), 6 * SECOND);
        AdapterOrder order = nextOrder(scheduler, 6 * SECOND).orElseThrow();
        then(order).isEqualTo(new AdapterOrder(AdapterOrder.Action.UNLOAD, B, 0, false));
        scheduler.onReply(order, OrderReply.HOLDS, 6 * SECOND);
        then(nextOrder(scheduler, 6 * SECOND).orElseThrow().adapter()).isEqualTo(C);
    }

    @Test
    void nextOrder_keepsAFrequentlyUsedAdapterOverARecentRareOne() {
        // GIVEN a frequently used adapter and one that was used once, but more recently
        AdapterScheduler scheduler = scheduler(2, Map.of(A, 1L, B, 1L));
        for (int i = 0; i < 50; i++) {
            scheduler.sampleUsage(a -> a.equals(A), i * SECOND / 10);
        }
        scheduler.recordUse(A, 5 * SECOND);
        scheduler.sampleUsage(a -> a.equals(B), 5 * SECOND + SECOND / 10);
        scheduler.recordUse(B, 5 * SECOND + SECOND / 10);
        // WHEN a third adapter is requested
        scheduler.addDemand(new AdapterDemand(C, 0, 0, FOREVER), 6 * SECOND);
        // THEN the rarely used one is unloaded
        then(nextOrder(scheduler, 6 * SECOND).orElseThrow().adapter()).isEqualTo(B);
    }

    @Test
    void nextOrder_loadsForUrgentRequestsFirst() {
        AdapterScheduler scheduler = scheduler(2, Map.of());
        scheduler.addDemand(new AdapterDemand(A, 0, 1, FOREVER), 0);
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 0);
        then(nextOrder(scheduler, 0).orElseThrow().adapter()).isEqualTo(B);
    }

    @Test
    void nextOrder_pollsALoadWhenItMayBeDone() {
        AdapterScheduler scheduler = scheduler(2, Map.of());
        scheduler.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        scheduler.onReply(nextOrder(scheduler, 0).orElseThrow(), OrderReply.UNDER_WAY, 0);
        // GIVEN loads that take 250 ms from the store, or 25 ms from the engine's local cache
        long expected = SECOND / 4;
        then(scheduler.nextOrder(a -> false, a -> true, a -> expected, SECOND / 40)).isPresent();
        then(scheduler.nextOrder(a -> false, a -> true, a -> expected, SECOND / 10)).isEmpty();
        then(scheduler.nextOrder(a -> false, a -> true, a -> expected, SECOND / 4)).isPresent();
    }

    @Test
    void nextOrder_keepsAdaptersInUse() {
        AdapterScheduler scheduler = scheduler(1, Map.of(A, 1L));
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND);
        then(scheduler.nextOrder(a -> a.equals(A), a -> true, a -> SECOND, 9 * SECOND)).isEmpty();
    }

    @Test
    void nextOrder_keepsARecentlyUsedAdapter() {
        AdapterScheduler scheduler = scheduler(1, Map.of(A, 1L));
        scheduler.recordUse(A, 9 * SECOND);
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND);
        then(nextOrder(scheduler, 9 * SECOND)).isEmpty();
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND + SECOND / 5);
        then(nextOrder(scheduler, 9 * SECOND + SECOND / 5)).isPresent();
    }

    @Test
    void onReply_countsAnUnansweredOrderAsAccepted() {
        // GIVEN one slot and a load order without a reply
        AdapterScheduler scheduler = scheduler(1, Map.of());
        scheduler.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        scheduler.onReply(nextOrder(scheduler, 0).orElseThrow(), OrderReply.UNKNOWN, 0);
        // WHEN another adapter is requested
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), SECOND / 10);
        // THEN the slot counts as taken, as too many adapters would crash the engine
        then(nextOrder(scheduler, SECOND / 10).orElseThrow().adapter()).isEqualTo(A);
    }

    @Test
    void nextOrder_replacesAnOlderVersion() {
        AdapterScheduler scheduler = scheduler(1, Map.of(A, 1L));
        scheduler.addDemand(new AdapterDemand(A, 2, 0, FOREVER), 0);
        AdapterOrder order = nextOrder(scheduler, 0).orElseThrow();
        then(order).isEqualTo(new AdapterOrder(AdapterOrder.Action.LOAD, A, 2, false));
        scheduler.onReply(order, OrderReply.UNDER_WAY, 0);
        then(scheduler.loadedAdapters()).isEmpty();
    }

    @Test
    void nextOrder_waitsWhileTheStoreIsSaturated() {
        AdapterScheduler scheduler = scheduler(1, Map.of(A, 1L));
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), 9 * SECOND);
        then(scheduler.nextOrder(a -> false, a -> false, a -> SECOND, 9 * SECOND)).isEmpty();
    }

    @Test
    void addDemand_expiresUnlessRepeated() {
        AdapterScheduler scheduler = scheduler(1, Map.of());
        scheduler.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        then(nextOrder(scheduler, 2 * SECOND)).isEmpty();
    }

    @Test
    void reloadOrder_reloadsTheAdapter() {
        AdapterScheduler scheduler = scheduler(2, Map.of(A, 1L));
        AdapterOrder order = scheduler.reloadOrder(a -> false, SECOND).orElseThrow();
        scheduler.onReply(order, OrderReply.HOLDS, SECOND);
        then(nextOrder(scheduler, SECOND).orElseThrow())
                .isEqualTo(new AdapterOrder(AdapterOrder.Action.LOAD, A, 0, false));
    }

    @Test
    void nextOrder_unloadsOneAdapterAtATime() {
        // GIVEN an engine that waits for the requests of an adapter before unloading it
        AdapterScheduler scheduler = scheduler(2, Map.of(A, 1L, B, 1L));
        scheduler.addDemand(new AdapterDemand(C, 0, 0, FOREVER), 0);
        AdapterOrder unloadOrder = nextOrder(scheduler, 0).orElseThrow();
        scheduler.onReply(unloadOrder, OrderReply.UNDER_WAY, 0);
        // WHEN one more adapter is requested
        AdapterKey more = new AdapterKey("m", "a4");
        scheduler.addDemand(new AdapterDemand(more, 0, 0, FOREVER), SECOND / 10);
        AdapterOrder next = nextOrder(scheduler, SECOND / 10).orElseThrow();
        // THEN only a status query for the first unload is due, as a second would be rejected
        then(next.statusQuery()).isTrue();
        then(next.adapter()).isEqualTo(unloadOrder.adapter());
    }

    @Test
    void nextOrder_keepsANewAdapterUntilItsRequestCanArrive() {
        // GIVEN a full engine with a newly loaded adapter, and demand for another
        AdapterScheduler scheduler = scheduler(1, Map.of());
        scheduler.addDemand(new AdapterDemand(A, 0, 0, FOREVER), 0);
        scheduler.onReply(nextOrder(scheduler, 0).orElseThrow(), OrderReply.HOLDS, SECOND);
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), SECOND + SECOND / 10);
        // THEN the adapter stays while the request for it may still arrive
        then(nextOrder(scheduler, SECOND + SECOND * 3 / 10)).isEmpty();
        // WHEN the grace period is over
        scheduler.addDemand(new AdapterDemand(B, 0, 0, FOREVER), SECOND + SECOND * 4 / 10);
        // THEN the adapter is evicted
        then(nextOrder(scheduler, SECOND + SECOND * 4 / 10).orElseThrow().adapter()).isEqualTo(A);
    }
}
