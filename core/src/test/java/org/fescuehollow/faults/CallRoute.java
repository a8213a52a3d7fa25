package org.fescuehollow.faults;

import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.routing.AttemptPlan;

/** Takes one call through its attempts, as the routing service does. */
final class CallRoute {
    private final SimulatedNode mNode;
    private final SimulatedCall mCall;
    private final Consumer<CallResult> mOnResult;
    private AttemptPlan mPlan;
    private int mCrashCount;

    CallRoute(SimulatedNode node, SimulatedCall call, Consumer<CallResult> onResult) {
        mNode = node;
        mCall = call;
        mOnResult = onResult;
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

    private void onReply(PeerReply reply) {
        if (reply.quote().isPresent()) {
            execute(mPlan.onDeclined(reply.quote().get()));
        } else if (reply.result().orElseThrow().problem().isPresent()) {
            onFailure(reply.result().get().problem().get());
        } else {
            mOnResult.accept(reply.result().get());
        }
    }

    private void onFailure(Problem problem) {
        mCrashCount = Math.max(mCrashCount, problem.crashCount());
        execute(mPlan.onFailed(problem, false));
    }
}
