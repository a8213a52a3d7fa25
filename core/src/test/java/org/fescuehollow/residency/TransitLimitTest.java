package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;

class TransitLimitTest {
    private static final long LOAD = Duration.ofMillis(250).toNanos();

    /** Loads as many at once as allowed from a store that carries some at full speed. */
    private static int settle(IntUnaryOperator millisByTransit) {
        TransitLimit limit = new TransitLimit();
        for (int i = 0; i < 500; i++) {
            int n = limit.limit();
            limit.done(Duration.ofMillis(millisByTransit.applyAsInt(n)).toNanos(), n);
        }
        return limit.limit();
    }

    @Test
    void allows_noMoreThanIsKnownToBeCarriedAtFirst() {
        TransitLimit limit = new TransitLimit();
        then(limit.allows(7)).isTrue();
        then(limit.allows(8)).isFalse();
    }

    @Test
    void done_findsWhatAStoreCarries() {
        then(settle(n -> 250 * Math.max(8, n) / 8)).isBetween(8, 11);
        then(settle(n -> 288 * Math.max(64, n) / 64)).isBetween(60, 90);
    }

    @Test
    void done_ignoresLoadsFromTheEnginesOwnCopies() {
        TransitLimit limit = new TransitLimit();
        limit.done(Duration.ofMillis(25).toNanos(), 8);
        limit.done(LOAD, 8);
        then(limit.limit()).isEqualTo(9);
    }
}
