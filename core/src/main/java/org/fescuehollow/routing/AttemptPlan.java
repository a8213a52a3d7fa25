package org.fescuehollow.routing;

import static org.fescuehollow.error.ShouldHaveCapacity.shouldHaveCapacity;
import static org.fescuehollow.error.ShouldMeetDeadline.shouldMeetDeadline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehollow.admission.RetryBudget;
import org.fescuehollow.error.ErrorCode;
import org.fescuehollow.error.Problem;
import org.fescuehollow.error.RunState;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.AdmissionMode;
import org.fescuehollow.placement.Quote;

/**
 * Decides which backend server a request is submitted to next, and when to give up.
 *
 * <p>The request is first submitted to each candidate in turn on the condition that it holds the
 * adapter. If all decline, the candidates that aren't crowded and quoted the lowest costs are asked
 * to load the adapter. As a last resort the request is submitted to the candidate with the lowest
 * quote without a condition. A single candidate gets the request without a condition at once.
 *
 * <pre>{@code
 * AttemptPlan plan = new AttemptPlan("loket-kern", candidates, repeatable, budget);
 * AttemptPlan.Step step = plan.begin();
 * step = plan.onDeclined(quote);
 * }</pre>
 *
 * <p>Invariants: a request that isn't repeatable runs on a backend server at most once; no attempt
 * begins after bytes of a response were sent to the client; a problem reports {@code NOT_RUN} only
 * if no attempt of the request can have run. Not safe for concurrent use.
 */
public final class AttemptPlan {
    private static final int MAX_ATTEMPTS = 10;
    private static final int MAX_FAILED_RUNS = 3;
    private static final int MAX_LOADABLE_ASKED = 2;

    private final String mService;
    private final List<Vm> mCandidates;
    private final boolean mRepeatable;
    private final RetryBudget mBudget;
    private final Map<Vm, Quote> mQuotes = new LinkedHashMap<>();
    private final Deque<Step.Submit> mPendingSubmits = new ArrayDeque<>();
    private Vm mCurrentServer;
    private double mKnownUses;
    private int mAttempts;
    private int mFailedRuns;
    private boolean mAlwaysQueued;
    private RunState mRunState = RunState.NOT_RUN;

    /** The next step of a request. */
    public sealed interface Step {
        /**
         * Submit the request to a backend server's coordinator.
         *
         * @param server the backend server
         * @param admissionMode the condition under which the coordinator accepts it
         * @param knownUses the highest use count of the adapter in the quotes so far
         */
        record Submit(Vm server, AdmissionMode admissionMode, double knownUses) implements Step {}

        /**
         * Respond to the client with a problem.
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
     * @param budget the budget that limits retries over all requests
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
        mBudget.recordRequest();
        if (mCandidates.isEmpty()) {
            return new Step.GiveUp(
                    shouldHaveCapacity(mService, "none of its backend servers can be reached", 2));
        }
        queueResidencyRound(mCandidates);
        return nextSubmit();
    }

    private void queueResidencyRound(List<Vm> servers) {
        mPendingSubmits.clear();
        mQuotes.clear();
        mAlwaysQueued = false;
        if (servers.size() > 1) {
            servers.forEach(
                    s -> mPendingSubmits.add(new Step.Submit(s, AdmissionMode.IF_RESIDENT, 0)));
        } else {
            queueAlways(servers.get(0));
        }
    }

    private void queueAlways(Vm server) {
        mAlwaysQueued = true;
        mPendingSubmits.add(new Step.Submit(server, AdmissionMode.ALWAYS, 0));
    }

    private Step nextSubmit() {
        Step.Submit step = mPendingSubmits.remove();
        mCurrentServer = step.server();
        return new Step.Submit(step.server(), step.admissionMode(), mKnownUses);
    }

    /**
     * Handles that the coordinator declined the request.
     *
     * @param quote the cost of accepting the request there
     * @return the next step
     */
    public Step onDeclined(Quote quote) {
        mQuotes.put(mCurrentServer, quote);
        mKnownUses = Math.max(mKnownUses, quote.uses());
        if (mPendingSubmits.isEmpty()) {
            if (mAlwaysQueued) {
                return giveUp(
                        shouldHaveCapacity(mService, "all its backend servers are overloaded", 1));
            }
            queueLoadRound();
        }
        return nextSubmit();
    }

    private void queueLoadRound() {
        List<Vm> cheapest =
                mQuotes.entrySet().stream()
                        .sorted(Map.Entry.comparingByValue())
                        .map(Map.Entry::getKey)
                        .toList();
        cheapest.stream()
                .filter(s -> !mQuotes.get(s).crowded())
                .limit(MAX_LOADABLE_ASKED)
                .forEach(
                        s -> mPendingSubmits.add(new Step.Submit(s, AdmissionMode.IF_LOADABLE, 0)));
        queueAlways(cheapest.get(0));
    }

    /**
     * Handles that an attempt failed.
     *
     * @param problem the failure, which includes whether the attempt ran
     * @param responseStarted true if bytes of a response were sent to the client
     * @return the next step
     */
    public Step onFailed(Problem problem, boolean responseStarted) {
        mAttempts++;
        if (problem.runState() != RunState.NOT_RUN) {
            mRunState = problem.runState();
            mFailedRuns++;
        }
        if (isNeverSent(problem) && !mAlwaysQueued) {
            return onDeclined(Quote.UNAVAILABLE);
        }
        boolean attemptsExhausted = mAttempts >= MAX_ATTEMPTS || mFailedRuns >= MAX_FAILED_RUNS;
        if (responseStarted
                || attemptsExhausted
                || !mayRetry(problem)
                || !mBudget.tryAcquireRetry()) {
            return giveUp(problem);
        }
        queueResidencyRound(currentServerLast());
        return nextSubmit();
    }

    /** Returns the candidates with the server that failed moved to the end. */
    private List<Vm> currentServerLast() {
        List<Vm> order = new ArrayList<>(mCandidates);
        order.remove(mCurrentServer);
        order.add(mCurrentServer);
        return order;
    }

    /**
     * Handles that the request's deadline has passed.
     *
     * @param waitedMillis how long it waited, in milliseconds
     * @return the last step
     */
    public Step onDeadlinePassed(long waitedMillis) {
        return giveUp(shouldMeetDeadline(waitedMillis));
    }

    private Step giveUp(Problem problem) {
        return new Step.GiveUp(
                problem.runState() == RunState.NOT_RUN ? problem.withRunState(mRunState) : problem);
    }

    /**
     * Returns whether the coordinator's node couldn't be reached. Such an attempt costs no server
     * anything, so it is handled like a declined one and doesn't use the retry budget.
     */
    private static boolean isNeverSent(Problem problem) {
        return problem.code() == ErrorCode.UNREACHABLE && problem.runState() == RunState.NOT_RUN;
    }

    private boolean mayRetry(Problem problem) {
        boolean safeToRepeat = mRepeatable || problem.runState() == RunState.NOT_RUN;
        return safeToRepeat
                && switch (problem.code()) {
                    case BACKEND_FAILED,
                            ANSWER_INCOMPLETE,
                            UNREACHABLE,
                            STOPPING,
                            LOAD_FAILED,
                            ADAPTER_MISSING,
                            NO_CAPACITY ->
                            true;
                    default -> false;
                };
    }
}
