package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EngineLeaseTest {
    private static final long LEASE_MILLIS = 3_000;

    private static long millis(long n) {
        return Duration.ofMillis(n).toNanos();
    }

    private static EngineLease leaseWithOrderCount(long count) {
        EngineLease reign = new EngineLease(LEASE_MILLIS, 0);
        reign.onOrderCount(count, 0);
        return reign;
    }

    private static void observeOrderCount(
            EngineLease reign, long count, long fromMillis, long toMillis) {
        for (long t = fromMillis; t <= toMillis; t += 400) {
            reign.onOrderCount(count, millis(t));
        }
    }

    @Test
    void mayClaim_waitsLongerThanTheLeaseAfterAnOrder() {
        // GIVEN an engine that others have ordered
        EngineLease reign = leaseWithOrderCount(4);
        // WHEN its count stands still
        // THEN a claim waits for the lease and for the time that the other may go on unseen
        observeOrderCount(reign, 4, 0, 5_000);
        then(reign.mayClaim(0, millis(4_000))).isFalse();
        then(reign.mayClaim(0, millis(4_050))).isTrue();
        then(reign.mayClaim(1, millis(4_050))).isFalse();
    }

    @Test
    void mayClaim_restartsTheWaitWhenTheCountChanges() {
        EngineLease reign = leaseWithOrderCount(4);
        observeOrderCount(reign, 4, 0, 3_600);
        observeOrderCount(reign, 5, 4_000, 9_000);
        then(reign.mayClaim(0, millis(8_000))).isFalse();
        then(reign.mayClaim(0, millis(8_050))).isTrue();
    }

    @Test
    void onRivalReleased_shortensTheWaitToTheLease() {
        // GIVEN an engine whose holder is heard and then says that it leaves
        EngineLease reign = leaseWithOrderCount(4);
        reign.onRivalHeard(millis(4_000));
        reign.onRivalReleased(millis(4_000));
        observeOrderCount(reign, 9, 4_200, 8_000);
        // THEN only the lease is waited for
        then(reign.mayClaim(0, millis(7_200))).isFalse();
        then(reign.mayClaim(0, millis(7_300))).isTrue();
    }

    @Test
    void mayClaim_restartsTheWaitWhenARivalIsHeard() {
        EngineLease reign = leaseWithOrderCount(4);
        observeOrderCount(reign, 4, 0, 8_000);
        reign.onRivalHeard(millis(4_000));
        then(reign.mayClaim(0, millis(8_000))).isFalse();
        then(reign.mayClaim(0, millis(8_050))).isTrue();
    }

    @Test
    void mayClaim_allowsAnEngineWithoutOrdersEarly() {
        EngineLease reign = leaseWithOrderCount(0);
        then(reign.mayClaim(0, millis(500))).isFalse();
        then(reign.mayClaim(0, millis(1_000))).isTrue();
        then(reign.mayClaim(1, millis(1_000))).isFalse();
    }

    @Test
    void mayClaim_ignoresObservationsFromBeforeAPause() {
        // GIVEN a node that saw an engine without orders and then stood still
        EngineLease reign = leaseWithOrderCount(0);
        // WHEN it goes on
        // THEN it has to watch the engine again
        then(reign.mayClaim(0, millis(9_000))).isFalse();
        reign.onOrderCount(6, millis(9_000));
        then(reign.mayClaim(0, millis(9_100))).isFalse();
    }

    @Test
    void mayOrder_endsWhenTheLeaseIsNotConfirmed() {
        // GIVEN a holder whose last visible order is a second old and that one node doesn't hear
        EngineLease reign = leaseWithOrderCount(0);
        reign.claim(millis(1_000));
        reign.onOrderAccepted(millis(1_000));
        // WHEN more than a quarter of the lease has passed
        // THEN it may not order, and after the whole lease it has lost the engine
        then(reign.mayOrder(0, millis(1_700))).isTrue();
        then(reign.needsCountedOrder(millis(1_700))).isTrue();
        then(reign.mayOrder(0, millis(1_800))).isFalse();
        then(reign.isHeld()).isTrue();
        then(reign.mayOrder(0, millis(4_100))).isFalse();
        then(reign.isHeld()).isFalse();
    }

    @Test
    void mayOrder_continuesWhileAllClaimantsHearTheHolder() {
        EngineLease reign = leaseWithOrderCount(0);
        reign.claim(0);
        then(reign.mayOrder(millis(700), millis(1_100))).isTrue();
        then(reign.mayOrder(millis(59_700), millis(60_000))).isTrue();
        then(reign.mayOrder(millis(59_700), millis(60_800))).isFalse();
    }

    @Test
    void abandon_clearsTheOrderCount() {
        EngineLease reign = leaseWithOrderCount(0);
        reign.claim(0);
        reign.abandon(millis(10));
        then(reign.mayClaim(0, millis(60_000))).isFalse();
    }

    @Test
    void onEngineRestarted_keepsTheHolder() {
        EngineLease reign = leaseWithOrderCount(7);
        reign.claim(0);
        reign.onEngineRestarted(millis(10));
        then(reign.isHeld()).isTrue();
        then(reign.orderCount()).isZero();
    }

    /** Two nodes that can't hear each other, and an engine whose reports lag. */
    @Property(tries = 300, seed = "20261204")
    void orders_ofTwoNodesAreAtLeastALeaseApart(
            @ForAll @IntRange(min = 0, max = 1_500) int startOfB,
            @ForAll @IntRange(min = 50, max = 400) int lag,
            @ForAll @IntRange(min = 0, max = 20_000) int aFallsSilent,
            @ForAll @IntRange(min = 300, max = 6_000) int workEvery) {
        EngineLease a = new EngineLease(LEASE_MILLIS, 0);
        EngineLease b = new EngineLease(LEASE_MILLIS, millis(startOfB));
        TreeMap<Long, Long> counts = new TreeMap<>(Map.of(-1_000L, 0L));
        List<String> orders = new ArrayList<>();
        long last = Long.MIN_VALUE;
        String lastBy = "";
        for (long t = 0; t < 40_000; t += 50) {
            for (String who : List.of("a", "b")) {
                EngineLease r = who.equals("a") ? a : b;
                boolean silent = who.equals("a") && t >= aFallsSilent && t < aFallsSilent + 9_000;
                if (silent || who.equals("b") && t < startOfB) {
                    continue;
                }
                long now = millis(t);
                if (t % 400 == 0) {
                    r.onOrderCount(counts.floorEntry(t - lag).getValue(), now);
                }
                if (r.mayClaim(who.equals("a") ? 0 : 1, now)) {
                    r.claim(now);
                }
                boolean due = t % workEvery < 50 || r.needsCountedOrder(now);
                if (r.mayOrder(0, now) && due) {
                    r.onOrderAccepted(now);
                    counts.put(t, counts.lastEntry().getValue() + 1);
                    then(lastBy.equals(who) || lastBy.isEmpty() || t - last >= LEASE_MILLIS)
                            .as("order of %s at %d after %s at %d", who, t, lastBy, last)
                            .isTrue();
                    last = t;
                    lastBy = who;
                    orders.add(who);
                }
            }
        }
        then(orders).isNotEmpty();
    }

    private static EngineLease heldLease() {
        EngineLease reign = leaseWithOrderCount(4);
        observeOrderCount(reign, 4, 0, 4_000);
        reign.claim(millis(4_100));
        return reign;
    }

    @Test
    void mayOrder_pausesAfterAConflict() {
        // GIVEN a holder whose order was refused, as an unload before waits for its runs
        EngineLease reign = heldLease();
        reign.onConflict();
        then(reign.mayOrder(millis(4_200), millis(4_200))).isFalse();
        // WHEN the engine's count is the one expected
        reign.onOrderCountVerified(4, millis(5_000));
        // THEN the reign goes on, as no other node has ordered
        then(reign.mayOrder(millis(5_000), millis(5_000))).isTrue();
        then(reign.orderCount()).isEqualTo(4);
    }

    @Test
    void onOrderCountVerified_endsTheLeaseIfAnotherNodeOrdered() {
        EngineLease reign = heldLease();
        reign.onConflict();
        reign.onOrderCountVerified(5, millis(5_000));
        then(reign.isHeld()).isFalse();
    }

    @Test
    void mayQueryStatus_onlyAfterTheLeaseWasConfirmed() {
        // GIVEN a node that has just claimed an engine, unheard by the others
        EngineLease reign = heldLease();
        then(reign.mayOrder(0, millis(4_200))).isTrue();
        then(reign.mayQueryStatus(millis(4_200))).isFalse();
        // WHEN it gives an order that moves the count
        reign.onOrderAccepted(millis(4_200));
        // THEN it may ask, for as long as that shows
        then(reign.mayQueryStatus(millis(4_900))).isTrue();
        then(reign.mayQueryStatus(millis(5_000))).isFalse();
    }
}
