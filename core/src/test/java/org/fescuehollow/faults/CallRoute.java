package org.fescuehollow.faults;

import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.routing.AttemptPlan;

/** One call's way through its attempts, as the routing service does it. */
final class SimulatedRoute {
    private final SimulatedNode mNode;
    private final SimulatedCall mCall;
    private final Consumer<CallResult> mOnResult;
    private AttemptPlan mPlan;
    private int mCrashCount;

    SimulatedRoute(SimulatedNode node, SimulatedCall call, Consumer<CallResult> reply) {
        mNode = node;
        mCall = call;
        mOnResult = reply;
    }

    void start() {
        mPlan = mNode.createAttemptPlan(mCall);
        execute(mPlan.begin());
    }

    private void execute(AttemptPlan.Step step) {
        if (step instanceof AttemptPlan.Step.Submit submit) {
            mNode.submit(submit, mCall, mCrashCount, this::onReply, this::onFailure);
        } else if (step instanceof AttemptPlan.Step.GiveUp giveUp) {
            mOnResult.accept(CallResult.failure(giveUp.problem()));
        }
    }

    private void onReply(PeerReply r) {
        if (r.quote().isPresent()) {
            execute(mPlan.onDeclined(r.quote().get()));
        } else if (r.result().orElseThrow().problem().isPresent()) {
            onFailure(r.result().get().problem().get());
        } else {
            mOnResult.accept(r.result().get());
        }
    }

    private void onFailure(Problem problem) {
        mCrashCount = Math.max(mCrashCount, problem.crashCount());
        execute(mPlan.onFailed(problem, false));
    }
}
