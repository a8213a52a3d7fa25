package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    private static long countAllowedRetries(WindowedRetryBudget budget, int nodes, long now) {
        return IntStream.range(0, 100).filter(i -> budget.tryRetry(nodes, now)).count();
    }

    @Test
    void tryRetry_dividesSlackBetweenNodes() {
        then(countAllowedRetries(new WindowedRetryBudget(0.2, 58, WINDOW_NANOS), 9, 0))
                .isEqualTo(6);
    }

    @Test
    void tryRetry_allowsShareOfRequests() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 0, WINDOW_NANOS);
        IntStream.range(0, 50).forEach(i -> budget.onRequest(0));
        then(countAllowedRetries(budget, 9, 1)).isEqualTo(10);
    }

    @Test
    void tryRetry_countsOnlyWithinWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 9, WINDOW_NANOS);
        then(countAllowedRetries(budget, 9, 0)).isEqualTo(1);
        then(countAllowedRetries(budget, 9, WINDOW_NANOS)).isZero();
        then(countAllowedRetries(budget, 9, WINDOW_NANOS + 1)).isEqualTo(1);
    }
}
