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
import org.fescuehollow.placement.Ask;
import org.fescuehollow.placement.Quote;
import org.fescuehollow.testsupport.TestFleet;
import org.junit.jupiter.api.Test;

class AttemptPlanTest {
    private static final List<Vm> SERVERS = TestFleet.engines(3, "rennes");
    private static final Problem UNKNOWN =
            Problem.of(ErrorCode.BACKEND_FAILED, RunState.OUTCOME_UNKNOWN, "broke", "look it up");

    @Test
    void failed_neverRepeatsACallThatMayHaveRun() {
        // GIVEN
        AttemptPlan plan = plan(false);
        plan.begin();
        // WHEN
        AttemptPlan.Step step = plan.failed(UNKNOWN, false);
        // THEN
        then(step).isEqualTo(new AttemptPlan.Step.GiveUp(UNKNOWN));
    }

    @Test
    void failed_repeatsACallThatDidNotRun() {
        // GIVEN
        AttemptPlan plan = plan(false);
        plan.begin();
        // WHEN
        AttemptPlan.Step step = plan.failed(UNKNOWN.withRunState(RunState.NOT_RUN), false);
        // THEN
        then(step).isEqualTo(new AttemptPlan.Step.Submit(SERVERS.get(1), Ask.IF_RESIDENT, 0));
    }

    @Test
    void failed_neverBeginsAnewAfterBytesWentToTheCaller() {
        // GIVEN
        AttemptPlan plan = plan(true);
        plan.begin();
        // WHEN / THEN
        then(plan.failed(UNKNOWN, true)).isInstanceOf(AttemptPlan.Step.GiveUp.class);
    }

    @Test
    void declined_asksTheCheapestForRoomThenInsists() {
        // GIVEN
        AttemptPlan plan = plan(true);
        plan.begin();
        plan.declined(new Quote(false, 5, 9));
        plan.declined(new Quote(true, 0, 1));
        // WHEN / THEN
        Quote last = new Quote(false, 2, 1);
        then(plan.declined(last))
                .isEqualTo(new AttemptPlan.Step.Submit(SERVERS.get(2), Ask.IF_ROOM, 9));
        then(plan.declined(last))
                .isEqualTo(new AttemptPlan.Step.Submit(SERVERS.get(0), Ask.IF_ROOM, 9));
        then(plan.declined(last))
                .isEqualTo(new AttemptPlan.Step.Submit(SERVERS.get(2), Ask.ALWAYS, 9));
        then(plan.declined(last)).isInstanceOf(AttemptPlan.Step.GiveUp.class);
    }

    @Test
    void giveUp_neverTellsNotRunAfterAnAttemptThatMayHaveRun() {
        // GIVEN
        AttemptPlan plan = plan(true);
        plan.begin();
        plan.failed(UNKNOWN, false);
        // WHEN
        AttemptPlan.Step late = plan.late(30_000);
        // THEN
        then(((AttemptPlan.Step.GiveUp) late).problem().runState())
                .isEqualTo(RunState.OUTCOME_UNKNOWN);
    }

    @Test
    void failed_passesOverANodeThatCannotBeReached() {
        // GIVEN
        AttemptPlan plan = new AttemptPlan("svc", SERVERS, false, new RetryBudget(0, 0));
        plan.begin();
        // WHEN
        AttemptPlan.Step step =
                plan.failed(shouldBeReachable("n1", RunState.NOT_RUN, "no link"), false);
        // THEN
        then(step).isEqualTo(new AttemptPlan.Step.Submit(SERVERS.get(1), Ask.IF_RESIDENT, 0));
    }

    @Test
    void failed_keepsRetriesWithinTheBudget() {
        // GIVEN
        RetryBudget budget = new RetryBudget(0.1, 2);
        // WHEN
        long retried =
                IntStream.range(0, 100)
                        .mapToObj(i -> new AttemptPlan("svc", SERVERS, true, budget))
                        .peek(AttemptPlan::begin)
                        .map(p -> p.failed(UNKNOWN, false))
                        .filter(AttemptPlan.Step.Submit.class::isInstance)
                        .count();
        // THEN
        then(retried).isLessThanOrEqualTo(12);
    }

    private static AttemptPlan plan(boolean repeatable) {
        return new AttemptPlan("svc", SERVERS, repeatable, new RetryBudget(0.1, 10));
    }
}
