package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;

class LoadConcurrencyLimitTest {
    private static final long LOAD_NANOS = Duration.ofMillis(250).toNanos();

    /** Repeats loads at the current limit; the load time depends on their number. */
    private static int converge(IntUnaryOperator millisByLoads) {
        LoadConcurrencyLimit limit = new LoadConcurrencyLimit();
        for (int i = 0; i < 500; i++) {
            int n = limit.limit();
            limit.onLoadCompleted(Duration.ofMillis(millisByLoads.applyAsInt(n)).toNanos(), n);
        }
        return limit.limit();
    }

    @Test
    void allows_theInitialLimitAtFirst() {
        LoadConcurrencyLimit limit = new LoadConcurrencyLimit();
        then(limit.allows(7)).isTrue();
        then(limit.allows(8)).isFalse();
    }

    @Test
    void onLoadCompleted_convergesToTheCapacityOfTheStore() {
        then(converge(n -> 250 * Math.max(8, n) / 8)).isBetween(8, 11);
        then(converge(n -> 288 * Math.max(64, n) / 64)).isBetween(60, 90);
    }

    @Test
    void onLoadCompleted_ignoresLoadsFromTheEnginesCache() {
        LoadConcurrencyLimit limit = new LoadConcurrencyLimit();
        limit.onLoadCompleted(Duration.ofMillis(25).toNanos(), 8);
        limit.onLoadCompleted(LOAD_NANOS, 8);
        then(limit.limit()).isEqualTo(9);
    }
}
