package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.List;
import org.fescuehollow.catalog.AdapterKey;
import org.junit.jupiter.api.Test;

class WaitingTimeTest {
    private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");

    private static CallNeeds call(AdapterKey adapter, long targetMillis, long deadlineMillis) {
        long target = Duration.ofMillis(targetMillis).toNanos();
        long deadline = Duration.ofMillis(deadlineMillis).toNanos();
        return new CallNeeds(
                "id", "s", adapter, 0, 10, 10, List.of(), 0, 0, target, deadline, false);
    }

    private static long at(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @Test
    void isOver_onceTheObjectiveOfAModelCallIsLongGone() {
        CallNeeds call = call(ADAPTER, 1_000, 15_000);
        then(WaitingTime.isOver(call, at(1_299))).isFalse();
        then(WaitingTime.isOver(call, at(1_300))).isTrue();
    }

    @Test
    void isOver_beforeTheDeadlineOfAPlainCall() {
        CallNeeds call = call(AdapterKey.NONE, 200, 1_000);
        then(WaitingTime.isOver(call, at(599))).isFalse();
        then(WaitingTime.isOver(call, at(600))).isTrue();
    }

    @Test
    void isOver_forACallThatAnEngineHandsBackLate() {
        // GIVEN a call that went to an engine at once
        CallNeeds call = call(ADAPTER, 1_000, 15_000);
        // WHEN the engine says after 4 s that it did not run it, and no other has room
        boolean refused = WaitingTime.isOver(call, at(4_000));
        // THEN it doesn't wait for its deadline
        then(refused).isTrue();
    }

    @Test
    void isOver_forAnInterruptedStreamCountsFromItsInterruption() {
        CallNeeds call = call(ADAPTER, 1_000, 15_000).interruptedAt(at(6_000));
        then(WaitingTime.isOver(call, at(8_599))).isFalse();
        then(WaitingTime.isOver(call, at(8_600))).isTrue();
    }

    @Test
    void isOver_forAnInterruptedStreamLeavesTimeBeforeItsDeadline() {
        CallNeeds call = call(ADAPTER, 1_000, 15_000).interruptedAt(at(14_000));
        then(WaitingTime.isOver(call, at(14_599))).isFalse();
        then(WaitingTime.isOver(call, at(14_600))).isTrue();
    }

    @Test
    void returnSeconds_leaveTimeForTheNextAttempt() {
        CallNeeds call = call(ADAPTER, 1_000, 15_000);
        then(WaitingTime.returnSeconds(call, at(1_300))).isBetween(4.0, 4.2);
    }
}
