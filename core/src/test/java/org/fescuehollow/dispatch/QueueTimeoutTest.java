package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehollow.catalog.AdapterKey;
import org.junit.jupiter.api.Test;

class QueueTimeoutTest {
    private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");

    private static DispatchRequest request(
            AdapterKey adapter, long targetMillis, long deadlineMillis) {
        long target = Duration.ofMillis(targetMillis).toNanos();
        long deadline = Duration.ofMillis(deadlineMillis).toNanos();
        return new DispatchRequest(
                "id",
                "s",
                adapter,
                0,
                10,
                10,
                List.of(),
                0,
                0,
                target,
                deadline,
                false,
                Optional.empty());
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @Test
    void isExpired_modelRequestAfterMultipleOfObjective() {
        DispatchRequest request = request(ADAPTER, 1_000, 15_000);
        then(QueueTimeout.isExpired(request, nanos(1_299))).isFalse();
        then(QueueTimeout.isExpired(request, nanos(1_300))).isTrue();
    }

    @Test
    void isExpired_plainRequestAfterShareOfDeadline() {
        DispatchRequest request = request(AdapterKey.NONE, 200, 1_000);
        then(QueueTimeout.isExpired(request, nanos(599))).isFalse();
        then(QueueTimeout.isExpired(request, nanos(600))).isTrue();
    }

    @Test
    void isExpired_requestRefusedLateByEngine() {
        // GIVEN a request that was sent to an engine on arrival
        DispatchRequest request = request(ADAPTER, 1_000, 15_000);
        // WHEN the engine rejects it after 4 s without running it, and no other has capacity
        boolean expired = QueueTimeout.isExpired(request, nanos(4_000));
        // THEN it is rejected instead of waiting until its deadline
        then(expired).isTrue();
    }

    @Test
    void isExpired_resumedStreamCountsFromInterruption() {
        DispatchRequest request = request(ADAPTER, 1_000, 15_000).resumedAt(nanos(6_000));
        then(QueueTimeout.isExpired(request, nanos(8_599))).isFalse();
        then(QueueTimeout.isExpired(request, nanos(8_600))).isTrue();
    }

    @Test
    void isExpired_resumedStreamBeforeDeadline() {
        DispatchRequest request = request(ADAPTER, 1_000, 15_000).resumedAt(nanos(14_000));
        then(QueueTimeout.isExpired(request, nanos(14_599))).isFalse();
        then(QueueTimeout.isExpired(request, nanos(14_600))).isTrue();
    }

    @Test
    void retryAfterSeconds_leavesTimeForNextAttempt() {
        DispatchRequest request = request(ADAPTER, 1_000, 15_000);
        then(QueueTimeout.retryAfterSeconds(request, nanos(1_300))).isBetween(4.0, 4.2);
    }
}
