package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryWindowTest {
    private static final long WINDOW = Duration.ofSeconds(10).toNanos();

    private static long allowed(RetryWindow window, int nodes, long now) {
        return IntStream.range(0, 100).filter(i -> window.tryRepeat(nodes, now)).count();
    }

    @Test
    void tryRepeat_sharesTheSlackBetweenNodes() {
        then(allowed(new RetryWindow(0.2, 58, WINDOW), 9, 0)).isEqualTo(6);
    }

    @Test
    void tryRepeat_earnsByRequests() {
        RetryWindow window = new RetryWindow(0.2, 0, WINDOW);
        IntStream.range(0, 50).forEach(i -> window.request(0));
        then(allowed(window, 9, 1)).isEqualTo(10);
    }

    @Test
    void tryRepeat_countsWithinTheWindowOnly() {
        RetryWindow window = new RetryWindow(0.2, 9, WINDOW);
        then(allowed(window, 9, 0)).isEqualTo(1);
        then(allowed(window, 9, WINDOW)).isZero();
        then(allowed(window, 9, WINDOW + 1)).isEqualTo(1);
    }
}
