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
        EngineLease lease = new EngineLease(LEASE_MILLIS, 0);
        lease.onOrderCount(count, 0);
        return lease;
    }

    private static void observeOrderCount(
            EngineLease lease, long count, long fromMillis, long toMillis) {
        for (long t = fromMillis; t <= toMillis; t += 400) {
            lease.onOrderCount(count, millis(t));
        }
    }

    @Test
    void mayClaim_waitsLongerThanTheLeaseAfterAnOrder() {
        // GIVEN an engine that accepted orders of other nodes
        EngineLease lease = leaseWithOrderCount(4);
        // WHEN its order count doesn't change
        // THEN a claim waits for the lease duration and the time that it may last unconfirmed
        observeOrderCount(lease, 4, 0, 5_000);
        then(lease.mayClaim(0, millis(4_000))).isFalse();
        then(lease.mayClaim(0, millis(4_050))).isTrue();
        then(lease.mayClaim(1, millis(4_050))).isFalse();
    }

    @Test
    void mayClaim_restartsTheWaitWhenTheCountChanges() {
        EngineLease lease = leaseWithOrderCount(4);
        observeOrderCount(lease, 4, 0, 3_600);
        observeOrderCount(lease, 5, 4_000, 9_000);
        then(lease.mayClaim(0, millis(8_000))).isFalse();
        then(lease.mayClaim(0, millis(8_050))).isTrue();
    }

    @Test
    void onRivalReleased_shortensTheWaitToTheLease() {
        // GIVEN an engine whose holder is heard and then releases it
        EngineLease lease = leaseWithOrderCount(4);
        lease.onRivalHeard(millis(4_000));
        lease.onRivalReleased(millis(4_000));
        observeOrderCount(lease, 9, 4_200, 8_000);
        // THEN a claim only waits for the lease duration
        then(lease.mayClaim(0, millis(7_200))).isFalse();
        then(lease.mayClaim(0, millis(7_300))).isTrue();
    }

    @Test
    void mayClaim_restartsTheWaitWhenARivalIsHeard() {
        EngineLease lease = leaseWithOrderCount(4);
        observeOrderCount(lease, 4, 0, 8_000);
        lease.onRivalHeard(millis(4_000));
        then(lease.mayClaim(0, millis(8_000))).isFalse();
        then(lease.mayClaim(0, millis(8_050))).isTrue();
    }

    @Test
    void mayClaim_allowsAnEngineWithoutOrdersEarly() {
        EngineLease lease = leaseWithOrderCount(0);
        then(lease.mayClaim(0, millis(500))).isFalse();
        then(lease.mayClaim(0, millis(1_000))).isTrue();
        then(lease.mayClaim(1, millis(1_000))).isFalse();
    }

    /** Guards against a node that just started and takes a restarted engine for a new one. */
    @Test
    void onMayBeKnown_waitsAsAfterAnOrder() {
        EngineLease lease = new EngineLease(LEASE_MILLIS, 0);
        lease.onMayBeKnown();
        observeOrderCount(lease, 0, 0, 4_000);
        then(lease.mayClaim(0, millis(4_000))).isFalse();
        then(lease.mayClaim(0, millis(4_050))).isTrue();
    }

    @Test
    void mayClaim_ignoresObservationsFromBeforeAPause() {
        // GIVEN a node that observed an engine without orders and was then paused
        EngineLease lease = leaseWithOrderCount(0);
        // WHEN it resumes
        // THEN it has to observe the engine again
        then(lease.mayClaim(0, millis(9_000))).isFalse();
        lease.onOrderCount(6, millis(9_000));
        then(lease.mayClaim(0, millis(9_100))).isFalse();
    }

    @Test
    void mayOrder_endsWhenTheLeaseIsNotConfirmed() {
        // GIVEN a holder with one counted order at its claim, which one claimant doesn't hear
        EngineLease lease = leaseWithOrderCount(0);
        lease.claim(millis(1_000));
        lease.onOrderAccepted(millis(1_000));
        // WHEN more than a quarter of the lease duration has passed
        // THEN it may not order, and after the whole duration it no longer holds the lease
        then(lease.mayOrder(0, millis(1_700))).isTrue();
        then(lease.needsCountedOrder(millis(1_700))).isTrue();
        then(lease.mayOrder(0, millis(1_800))).isFalse();
        then(lease.isHeld()).isTrue();
        then(lease.mayOrder(0, millis(4_100))).isFalse();
        then(lease.isHeld()).isFalse();
    }

    @Test
    void mayOrder_continuesWhileAllClaimantsHearTheHolder() {
        EngineLease lease = leaseWithOrderCount(0);
        lease.claim(0);
        then(lease.mayOrder(millis(700), millis(1_100))).isTrue();
        then(lease.mayOrder(millis(59_700), millis(60_000))).isTrue();
        then(lease.mayOrder(millis(59_700), millis(60_800))).isFalse();
    }

    @Test
    void abandon_clearsTheOrderCount() {
        EngineLease lease = leaseWithOrderCount(0);
        lease.claim(0);
        lease.abandon(millis(10));
        then(lease.mayClaim(0, millis(60_000))).isFalse();
    }

    @Test
    void onEngineRestarted_keepsTheHolder() {
        EngineLease lease = leaseWithOrderCount(7);
        lease.claim(0);
        lease.onEngineRestarted(millis(10));
        then(lease.isHeld()).isTrue();
        then(lease.orderCount()).isZero();
    }

    /** Two nodes that can't hear each other, and an engine with delayed reports. */
    @Property(tries = 300, seed = "20261204")
    void orders_ofTwoNodesAreAtLeastALeaseApart(
            @ForAll @IntRange(min = 0, max = 1_500) int bStartMillis,
            @ForAll @IntRange(min = 50, max = 400) int lagMillis,
            @ForAll @IntRange(min = 0, max = 20_000) int aSilentFromMillis,
            @ForAll @IntRange(min = 300, max = 6_000) int orderIntervalMillis) {
        EngineLease a = new EngineLease(LEASE_MILLIS, 0);
        EngineLease b = new EngineLease(LEASE_MILLIS, millis(bStartMillis));
        TreeMap<Long, Long> counts = new TreeMap<>(Map.of(-1_000L, 0L));
        List<String> orders = new ArrayList<>();
        long lastMillis = Long.MIN_VALUE;
        String lastNode = "";
        for (long t = 0; t < 40_000; t += 50) {
            for (String node : List.of("a", "b")) {
                EngineLease lease = node.equals("a") ? a : b;
                boolean silent =
                        node.equals("a") && t >= aSilentFromMillis && t < aSilentFromMillis + 9_000;
                if (silent || node.equals("b") && t < bStartMillis) {
                    continue;
                }
                long now = millis(t);
                if (t % 400 == 0) {
                    lease.onOrderCount(counts.floorEntry(t - lagMillis).getValue(), now);
                }
                if (lease.mayClaim(node.equals("a") ? 0 : 1, now)) {
                    lease.claim(now);
                }
                boolean due = t % orderIntervalMillis < 50 || lease.needsCountedOrder(now);
                if (lease.mayOrder(0, now) && due) {
                    lease.onOrderAccepted(now);
                    counts.put(t, counts.lastEntry().getValue() + 1);
                    then(lastNode.equals(node)
                                    || lastNode.isEmpty()
                                    || t - lastMillis >= LEASE_MILLIS)
                            .as("order of %s at %d after %s at %d", node, t, lastNode, lastMillis)
                            .isTrue();
                    lastMillis = t;
                    lastNode = node;
                    orders.add(node);
                }
            }
        }
        then(orders).isNotEmpty();
    }

    private static EngineLease heldLease() {
        EngineLease lease = leaseWithOrderCount(4);
        observeOrderCount(lease, 4, 0, 4_000);
        lease.claim(millis(4_100));
        return lease;
    }

    @Test
    void mayOrder_pausesAfterAConflict() {
        // GIVEN a holder whose order met a conflict, as an earlier unload waits for requests
        EngineLease lease = heldLease();
        lease.onConflict();
        then(lease.mayOrder(millis(4_200), millis(4_200))).isFalse();
        // WHEN the engine's order count is the expected one
        lease.onOrderCountVerified(4, millis(5_000));
        // THEN the lease continues, as no other node has given orders
        then(lease.mayOrder(millis(5_000), millis(5_000))).isTrue();
        then(lease.orderCount()).isEqualTo(4);
    }

    @Test
    void onOrderCountVerified_endsTheLeaseIfAnotherNodeOrdered() {
        EngineLease lease = heldLease();
        lease.onConflict();
        lease.onOrderCountVerified(5, millis(5_000));
        then(lease.isHeld()).isFalse();
    }

    @Test
    void mayQueryStatus_onlyAfterTheLeaseWasConfirmed() {
        // GIVEN a node that has just claimed an engine and is not heard by the others
        EngineLease lease = heldLease();
        then(lease.mayOrder(0, millis(4_200))).isTrue();
        then(lease.mayQueryStatus(millis(4_200))).isFalse();
        // WHEN it gives a counted order
        lease.onOrderAccepted(millis(4_200));
        // THEN it may send status queries while this confirms the lease
        then(lease.mayQueryStatus(millis(4_900))).isTrue();
        then(lease.mayQueryStatus(millis(5_000))).isFalse();
    }
}
