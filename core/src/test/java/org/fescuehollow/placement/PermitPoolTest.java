package org.fescuehollow.placement;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fescuehollow.model.Priority;
import org.fescuehollow.settings.StorePolicy;
import org.junit.jupiter.api.Test;

class PermitPoolTest {
    private static final long MAX_LOAD_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int MAX_IN_TRANSIT = 4;
    private static final PermitRequest REQUEST =
            new PermitRequest("e/a", Priority.STANDARD, "team", 1, 10);
    private static final Urgency URGENT = new Urgency(false, Priority.INTERACTIVE, 99);

    @Property(tries = 300, seed = "20261204")
    void loads_neverExceedTheStoreLimitWhenLoansAreLost(
            @ForAll @Size(max = 200) List<@IntRange(max = 9_999) Integer> steps) {
        // GIVEN
        StorePolicy policy = new StorePolicy(50, MAX_IN_TRANSIT, Map.of("d0", 0.5, "d1", 0.5));
        SortedSet<String> listed = new TreeSet<>(Set.of("n0", "n1", "n2"));
        List<PermitPool> pools = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            PermitPool pool = new PermitPool("n" + i % 3, 0, MAX_LOAD_NANOS);
            pool.setShare(0, StoreShare.of(policy, "n" + i % 3, "d" + i / 3, listed));
            pools.add(pool);
        }
        List<Load> loads = new ArrayList<>();
        long now = 0;
        for (int step : steps) {
            now += Duration.ofMillis(100).toNanos();
            long start = now;
            PermitPool pool = pools.get(step / 10 % 6);
            PermitPool other = pools.get(step / 60 % 6);
            // WHEN
            switch (step % 10) {
                case 0, 1, 2, 3 ->
                        pool.tryAcquire(now, REQUEST)
                                .ifPresent(p -> loads.add(new Load(pool, p, start)));
                case 4, 5 -> lend(other, pool, now, step % 4 > 0);
                case 6, 7 -> endOldest(loads, now);
                case 8 -> pool.drainReturns(now);
                default -> now += MAX_LOAD_NANOS / 2;
            }
            long end = now;
            loads.removeIf(l -> end - l.beganNanos() >= MAX_LOAD_NANOS);
            // THEN
            then(loads.size()).isLessThanOrEqualTo(MAX_IN_TRANSIT);
        }
    }

    /** A load, which fails when it exceeds the timeout. */
    private record Load(PermitPool pool, Permit permit, long beganNanos) {}

    private static void lend(PermitPool from, PermitPool to, long now, boolean arrives) {
        if (from != to) {
            from.lend(now, URGENT).filter(p -> arrives).ifPresent(p -> to.addLoan(now, p));
        }
    }

    private static void endOldest(List<Load> loads, long now) {
        if (!loads.isEmpty()) {
            Load l = loads.remove(0);
            l.pool().release(now, l.permit());
        }
    }

    @Test
    void lend_keepsThePermitForAMoreUrgentOwnLoad() {
        // GIVEN
        PermitPool pool = new PermitPool("n0", 0, MAX_LOAD_NANOS);
        pool.setShare(0, new StoreShare(1, 1));
        pool.tryAcquire(1, new PermitRequest("e/a", Priority.INTERACTIVE, "team", 1, 50));
        // WHEN
        long later = Duration.ofMillis(1_010).toNanos();
        pool.tryAcquire(
                Duration.ofMillis(990).toNanos(),
                new PermitRequest("e/a", Priority.INTERACTIVE, "team", 1, 50));
        // THEN
        then(pool.lend(later, new Urgency(false, Priority.BULK, 900))).isEmpty();
        then(pool.lend(later, new Urgency(false, Priority.INTERACTIVE, 900))).isPresent();
    }

    @Test
    void of_sharesSumToTheStoreLimitForAnyNumberOfNodes() {
        StorePolicy policy = new StorePolicy(4, 8, Map.of("a", 0.25, "b", 0.75));
        for (int nodes = 1; nodes < 12; nodes++) {
            SortedSet<String> listed =
                    IntStream.range(0, nodes)
                            .mapToObj(i -> "n" + i)
                            .collect(Collectors.toCollection(TreeSet::new));
            int units =
                    Stream.of("a", "b")
                            .mapToInt(
                                    d ->
                                            listed.stream()
                                                    .mapToInt(
                                                            n ->
                                                                    StoreShare.of(
                                                                                    policy, n, d,
                                                                                    listed)
                                                                            .inTransit())
                                                    .sum())
                            .sum();
            then(units).isEqualTo(8);
        }
    }
}
