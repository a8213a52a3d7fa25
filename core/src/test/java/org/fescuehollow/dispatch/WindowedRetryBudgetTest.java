package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {
    private static final long WINDOW = Duration.ofSeconds(10).toNanos();

    private static long countAllowedRetries(WindowedRetryBudget window, int nodes, long now) {
        return IntStream.range(0, 100).filter(i -> window.tryRetry(nodes, now)).count();
    }

    @Test
    void tryRetry_dividesSlackBetweenNodes() {
        then(countAllowedRetries(new WindowedRetryBudget(0.2, 58, WINDOW), 9, 0)).isEqualTo(6);
    }

    @Test
    void tryRetry_allowsShareOfRequests() {
        WindowedRetryBudget window = new WindowedRetryBudget(0.2, 0, WINDOW);
        IntStream.range(0, 50).forEach(i -> window.onRequest(0));
        then(countAllowedRetries(window, 9, 1)).isEqualTo(10);
    }

    @Test
    void tryRetry_countsOnlyWithinWindow() {
        WindowedRetryBudget window = new WindowedRetryBudget(0.2, 9, WINDOW);
        then(countAllowedRetries(window, 9, 0)).isEqualTo(1);
        then(countAllowedRetries(window, 9, WINDOW)).isZero();
        then(countAllowedRetries(window, 9, WINDOW + 1)).isEqualTo(1);
    }
}
