package org.fescuehollow.routing;

import static org.assertj.core.api.BDDAssertions.then;
import static org.fescuehollow.error.ShouldBeReachable.shouldBeReachable;

import java.util.List;
import java.util.stream.IntStream;
import org.fescuehollow.admission.RetryBudget;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.AdmissionMode;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.testsupport.TestFleet;
import org.junit.jupiter.api.Test;

class AttemptPlanTest {
    private static final List<Vm> SERVERS = TestFleet.engines(3, "rennes");
    private static final Problem OUTCOME_UNKNOWN =
            Problem.of(ErrorCode.BACKEND_FAILED, RunState.OUTCOME_UNKNOWN, "broke", "look it up");

    @Test
    void onFailed_neverRetriesANonRepeatableCallThatMayHaveRun() {
        // GIVEN
        AttemptPlan plan = plan(false);
        plan.begin();
        // WHEN
        AttemptPlan.Step step = plan.onFailed(OUTCOME_UNKNOWN, false);
        // THEN
        then(step).isEqualTo(new AttemptPlan.Step.GiveUp(OUTCOME_UNKNOWN));
    }

    @Test
    void onFailed_retriesACallThatDidNotRun() {
        // GIVEN
        AttemptPlan plan = plan(false);
        plan.begin();
        // WHEN
        AttemptPlan.Step step =
                plan.onFailed(OUTCOME_UNKNOWN.withRunState(RunState.NOT_RUN), false);
        // THEN
        then(step)
                .isEqualTo(
                        new AttemptPlan.Step.Submit(SERVERS.get(1), AdmissionMode.IF_RESIDENT, 0));
    }

    @Test
    void onFailed_neverRetriesAfterBytesWentToTheCaller() {
        // GIVEN
        AttemptPlan plan = plan(true);
        plan.begin();
        // WHEN / THEN
        then(plan.onFailed(OUTCOME_UNKNOWN, true)).isInstanceOf(AttemptPlan.Step.GiveUp.class);
    }

    @Test
    void onDeclined_asksTheCheapestToLoadThenSubmitsUnconditionally() {
        // GIVEN
        AttemptPlan plan = plan(true);
        plan.begin();
        plan.onDeclined(new Quote(false, 5, 9));
        plan.onDeclined(new Quote(true, 0, 1));
        // WHEN / THEN
        Quote last = new Quote(false, 2, 1);
        then(plan.onDeclined(last))
                .isEqualTo(
                        new AttemptPlan.Step.Submit(SERVERS.get(2), AdmissionMode.IF_LOADABLE, 9));
        then(plan.onDeclined(last))
                .isEqualTo(
                        new AttemptPlan.Step.Submit(SERVERS.get(0), AdmissionMode.IF_LOADABLE, 9));
        then(plan.onDeclined(last))
                .isEqualTo(new AttemptPlan.Step.Submit(SERVERS.get(2), AdmissionMode.ALWAYS, 9));
        then(plan.onDeclined(last)).isInstanceOf(AttemptPlan.Step.GiveUp.class);
    }

    @Test
    void giveUp_neverReportsNotRunAfterAnAttemptThatMayHaveRun() {
        // GIVEN
        AttemptPlan plan = plan(true);
        plan.begin();
        plan.onFailed(OUTCOME_UNKNOWN, false);
        // WHEN
        AttemptPlan.Step step = plan.onDeadlinePassed(30_000);
        // THEN
        then(((AttemptPlan.Step.GiveUp) step).problem().runState())
                .isEqualTo(RunState.OUTCOME_UNKNOWN);
    }

    @Test
    void onFailed_skipsAnUnreachableNodeWithoutUsingTheRetryBudget() {
        // GIVEN
        AttemptPlan plan = new AttemptPlan("svc", SERVERS, false, new RetryBudget(0, 0));
        plan.begin();
        // WHEN
        AttemptPlan.Step step =
                plan.onFailed(shouldBeReachable("n1", RunState.NOT_RUN, "no link"), false);
        // THEN
        then(step)
                .isEqualTo(
                        new AttemptPlan.Step.Submit(SERVERS.get(1), AdmissionMode.IF_RESIDENT, 0));
    }

    @Test
    void onFailed_keepsRetriesWithinTheBudget() {
        // GIVEN
        RetryBudget budget = new RetryBudget(0.1, 2);
        // WHEN
        long retried =
                IntStream.range(0, 100)
                        .mapToObj(i -> new AttemptPlan("svc", SERVERS, true, budget))
                        .peek(AttemptPlan::begin)
                        .map(p -> p.onFailed(OUTCOME_UNKNOWN, false))
                        .filter(AttemptPlan.Step.Submit.class::isInstance)
                        .count();
        // THEN
        then(retried).isLessThanOrEqualTo(12);
    }

    private static AttemptPlan plan(boolean repeatable) {
        return new AttemptPlan("svc", SERVERS, repeatable, new RetryBudget(0.1, 10));
    }
}
