package org.fescuehollow.routing;

import static org.fescuehollow.error.ShouldFindCapacity.shouldFindCapacity;

import java.util.List;
import org.fescuehollow.admission.RetryBudget;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.Vm;

/**
 * Decides where a request goes next: which backend server it tries, and when to give up.
 *
 * <pre>{@code
 * AttemptPlan plan = new AttemptPlan("loket-kern", candidates, repeatable, budget);
 * AttemptPlan.Step step = plan.begin();
 * step = plan.redirected();
 * }</pre>
 *
 * <p>Invariants: a request that must not repeat is sent to a backend server at most once; after
 * bytes of an answer went to the caller, no other attempt begins. Not safe for concurrent use.
 */
public final class AttemptPlan {
    private static final int MAX_ATTEMPTS = 6;
    private static final int MAX_BROKEN = 3;

    private final String mService;
    private final List<Vm> mCandidates;
    private final boolean mRepeatable;
    private final RetryBudget mBudget;
    private int mNext;
    private int mAttempts;
    private int mBroken;
    private boolean mInsisting;
    private RunState mRan = RunState.NOT_RUN;

    /** The next step of a request. */
    public sealed interface Step {
        /**
         * Submit the request to a backend server's coordinator.
         *
         * @param server the backend server
         * @param mayRedirect true if the coordinator may decline because it is crowded
         */
        record Submit(Vm server, boolean mayRedirect) implements Step {}

        /**
         * Answer the caller with a problem.
         *
         * @param problem the reason
         */
        record GiveUp(Problem problem) implements Step {}
    }

    /**
     * Creates the plan of one request.
     *
     * @param service the service, for error messages
     * @param candidates the backend servers in order of preference
     * @param repeatable false if the request must run at most once
     * @param budget bounds retries over all requests
     */
    public AttemptPlan(
            String service, List<Vm> candidates, boolean repeatable, RetryBudget budget) {
        mService = service;
        mCandidates = List.copyOf(candidates);
        mRepeatable = repeatable;
        mBudget = budget;
    }

    /**
     * Begins the request.
     *
     * @return the first step
     */
    public Step begin() {
        mBudget.request();
        if (mCandidates.isEmpty()) {
            return new Step.GiveUp(
                    shouldFindCapacity(mService, "no backend server of it can be reached", 2));
        }
        return submit(mCandidates.get(mNext++));
    }

    private Step submit(Vm server) {
        return new Step.Submit(server, !mInsisting && mCandidates.size() > 1);
    }

    /**
     * Goes on after a coordinator declined since it is crowded.
     *
     * @return the next step: the next server, or the first one again without a right to decline
     */
    public Step redirected() {
        if (mInsisting) {
            return giveUp(shouldFindCapacity(mService, "all its servers are crowded", 1));
        }
        if (mNext < mCandidates.size()) {
            return submit(mCandidates.get(mNext++));
        }
        mInsisting = true;
        return submit(mCandidates.get(0));
    }

    /**
     * Goes on after an attempt failed.
     *
     * @param problem the failure, with whether the attempt ran
     * @param answered true if bytes of an answer went to the caller
     * @return the next step
     */
    public Step failed(Problem problem, boolean answered) {
        mAttempts++;
        if (problem.ran() != RunState.NOT_RUN) {
            mRan = problem.ran();
            mBroken++;
        }
        boolean spent = mAttempts >= MAX_ATTEMPTS || mBroken >= MAX_BROKEN;
        if (answered || spent || !mayRepeat(problem) || !mBudget.tryRetry()) {
            return giveUp(problem);
        }
        Vm next = mCandidates.get(mNext++ % mCandidates.size());
        return submit(next);
    }

    /** A call is told to have not run only if none of its attempts may have run. */
    private Step giveUp(Problem problem) {
        return new Step.GiveUp(problem.ran() == RunState.NOT_RUN ? problem.withRan(mRan) : problem);
    }

    private boolean mayRepeat(Problem problem) {
        boolean harmless = mRepeatable || problem.ran() == RunState.NOT_RUN;
        return harmless
                && switch (problem.code()) {
                    case BACKEND_FAILED,
                            ANSWER_INCOMPLETE,
                            UNREACHABLE,
                            STOPPING,
                            LOAD_FAILED,
                            NO_CAPACITY ->
                            true;
                    default -> false;
                };
    }
}
