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

class PermitBankTest {
    private static final long LOAD_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int LIMIT = 4;
    private static final Want WANT = new Want("e/a", Priority.STANDARD, "team", 1, 10);
    private static final Urgency NEED = new Urgency(false, Priority.INTERACTIVE, 99);

    @Property(tries = 300, seed = "20261204")
    void loads_neverExceedTheStoresLimitOverAnySplit(
            @ForAll @Size(max = 200) List<@IntRange(max = 9_999) Integer> steps) {
        // GIVEN
        StorePolicy policy = new StorePolicy(50, LIMIT, Map.of("d0", 0.5, "d1", 0.5));
        SortedSet<String> listed = new TreeSet<>(Set.of("n0", "n1", "n2"));
        List<PermitBank> banks = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            PermitBank bank = new PermitBank("n" + i % 3, 0, LOAD_NANOS);
            bank.setShare(0, StoreShare.of(policy, "n" + i % 3, "d" + i / 3, listed));
            banks.add(bank);
        }
        List<Load> loads = new ArrayList<>();
        long now = 0;
        for (int step : steps) {
            now += Duration.ofMillis(100).toNanos();
            long at = now;
            PermitBank bank = banks.get(step / 10 % 6);
            PermitBank other = banks.get(step / 60 % 6);
            // WHEN
            switch (step % 10) {
                case 0, 1, 2, 3 ->
                        bank.tryTake(now, WANT).ifPresent(p -> loads.add(new Load(bank, p, at)));
                case 4, 5 -> lend(other, bank, now, step % 4 > 0);
                case 6, 7 -> endOldest(loads, now);
                case 8 -> bank.takeReturns(now);
                default -> now += LOAD_NANOS / 2;
            }
            long end = now;
            loads.removeIf(l -> end - l.begun() >= LOAD_NANOS);
            // THEN
            then(loads.size()).isLessThanOrEqualTo(LIMIT);
        }
    }

    /** A load, which is given up once it takes too long. */
    private record Load(PermitBank bank, Permit permit, long begun) {}

    private static void lend(PermitBank from, PermitBank to, long now, boolean arrives) {
        if (from != to) {
            from.lend(now, NEED).filter(p -> arrives).ifPresent(p -> to.borrowed(now, p));
        }
    }

    private static void endOldest(List<Load> loads, long now) {
        if (!loads.isEmpty()) {
            Load l = loads.remove(0);
            l.bank().release(now, l.permit());
        }
    }

    @Test
    void lend_keepsThePermitForTheMoreUrgentLoad() {
        // GIVEN
        PermitBank bank = new PermitBank("n0", 0, LOAD_NANOS);
        bank.setShare(0, new StoreShare(1, 1));
        bank.tryTake(1, new Want("e/a", Priority.INTERACTIVE, "team", 1, 50));
        // WHEN
        long later = Duration.ofMillis(1_010).toNanos();
        bank.tryTake(
                Duration.ofMillis(990).toNanos(),
                new Want("e/a", Priority.INTERACTIVE, "team", 1, 50));
        // THEN
        then(bank.lend(later, new Urgency(false, Priority.BULK, 900))).isEmpty();
        then(bank.lend(later, new Urgency(false, Priority.INTERACTIVE, 900))).isPresent();
    }

    @Test
    void shares_sumToTheStoresLimitsForAnyNumberOfNodes() {
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
