package org.fescuehollow.faults;

import static org.assertj.core.api.BDDAssertions.then;
import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import java.util.Set;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.AdapterRef;
import org.junit.jupiter.api.Test;

class InvariantCheckerTest {
    private static final AdapterRef ADAPTER = new AdapterRef("a1", "v1");
    private static final SimulatedCall NOT_REPEATABLE =
            new SimulatedCall("p", "k", ADAPTER, false, false, null);
    private static final SimulatedCall REPEATABLE =
            new SimulatedCall("r", "k2", ADAPTER, true, false, null);
    private static final CallResult NOT_RUN =
            CallResult.failure(shouldBeReachable("n", RunState.NOT_RUN, "gone"));

    private final InvariantChecker mChecker = new InvariantChecker();

    @Test
    void checker_reportsASecondExecution() {
        mChecker.onExecution(NOT_REPEATABLE, "a1@v1", true);
        mChecker.onExecution(NOT_REPEATABLE, "a1@v1", true);
        thenReports("ran twice");
    }

    @Test
    void checker_reportsAWrongAdapter() {
        mChecker.onExecution(REPEATABLE, "a2@v1", true);
        thenReports("wrong adapter");
    }

    @Test
    void checker_reportsAnEvictionInUse() {
        mChecker.onUnload("a1@v1", 1);
        thenReports("evicted in use");
    }

    @Test
    void checker_reportsAFalseNotRun() {
        mChecker.onExecution(REPEATABLE, "a1@v1", true);
        mChecker.onResult(REPEATABLE, NOT_RUN);
        thenReports("reported as not run, but ran");
    }

    @Test
    void checker_reportsAFalseNotRunForARetriedTicket() {
        mChecker.onExecution(NOT_REPEATABLE, "a1@v1", true);
        mChecker.onResult(new SimulatedCall("p+", "k", ADAPTER, false, false, null), NOT_RUN);
        thenReports("reported as not run, but ran");
    }

    @Test
    void checker_reportsAnAnswerToAnotherCall() {
        mChecker.onResult(REPEATABLE, CallResult.success(NOT_REPEATABLE.expectedText()));
        thenReports("wrong answer");
    }

    @Test
    void checker_reportsASecondAnswer() {
        mChecker.onResult(REPEATABLE, NOT_RUN);
        mChecker.onResult(REPEATABLE, NOT_RUN);
        thenReports("answered twice");
    }

    @Test
    void checker_reportsAnUnansweredCall() {
        mChecker.onCall(REPEATABLE);
        mChecker.checkAllCallsAnswered(Set.of());
        thenReports("never answered");
    }

    @Test
    void checker_reportsNewWorkOnALeavingEngine() {
        mChecker.onStartAfterLeaving(REPEATABLE, 5);
        thenReports("after leaving");
    }

    @Test
    void checker_reportsADecreasingSettingsRevision() {
        mChecker.onSettingsChange("n1", 3, 2);
        thenReports("settings revision decreased");
    }

    private void thenReports(String violation) {
        then(mChecker.violations()).hasSize(1).allMatch(v -> v.contains(violation));
    }
}
