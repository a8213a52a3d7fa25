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
 * Decides where a request goes next: which backend server it tries, and when to give up.
 *
 * <p>The candidates are asked in turn whether they hold the adapter. If none does, the one is asked
 * to load it that quoted the lowest price, and the one that took the most pains is told to in the
 * end.
 *
 * <pre>{@code
 * AttemptPlan plan = new AttemptPlan("loket-kern", candidates, repeatable, budget);
 * AttemptPlan.Step step = plan.begin();
 * step = plan.declined(quote);
 * }</pre>
 *
 * <p>Invariants: a request that must not repeat is sent to a backend server at most once; after
 * bytes of an answer went to the caller, no other attempt begins; a request is told to have not run
 * only if none of its attempts may have run. Not safe for concurrent use.
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
         * @param admissionMode how firmly to ask
         * @param knownUses how often the adapter was asked for, as far as the servers asked know
         */
        record Submit(Vm server, AdmissionMode admissionMode, double knownUses) implements Step {}

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
        mBudget.recordRequest();
        if (mCandidates.isEmpty()) {
            return new Step.GiveUp(
                    shouldHaveCapacity(mService, "no backend server of it can be reached", 2));
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
     * Goes on after a coordinator declined.
     *
     * @param quote what taking the request would cost there
     * @return the next step
     */
    public Step onDeclined(Quote quote) {
        mQuotes.put(mCurrentServer, quote);
        mKnownUses = Math.max(mKnownUses, quote.uses());
        if (mPendingSubmits.isEmpty()) {
            if (mAlwaysQueued) {
                return giveUp(shouldHaveCapacity(mService, "all its servers are crowded", 1));
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
     * Goes on after an attempt failed.
     *
     * @param problem the failure, with whether the attempt ran
     * @param answered true if bytes of an answer went to the caller
     * @return the next step
     */
    public Step onFailed(Problem problem, boolean answered) {
        mAttempts++;
        if (problem.runState() != RunState.NOT_RUN) {
            mRunState = problem.runState();
            mFailedRuns++;
        }
        if (isNeverSent(problem) && !mAlwaysQueued) {
            return onDeclined(Quote.UNAVAILABLE);
        }
        boolean spent = mAttempts >= MAX_ATTEMPTS || mFailedRuns >= MAX_FAILED_RUNS;
        if (answered || spent || !mayRetry(problem) || !mBudget.tryAcquireRetry()) {
            return giveUp(problem);
        }
        queueResidencyRound(currentServerLast());
        return nextSubmit();
    }

    /** The server that failed comes last. */
    private List<Vm> currentServerLast() {
        List<Vm> order = new ArrayList<>(mCandidates);
        order.remove(mCurrentServer);
        order.add(mCurrentServer);
        return order;
    }

    /**
     * Gives up since the request's time has passed.
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

    /** A node that can't be reached is passed over at no cost to any server. */
    private static boolean isNeverSent(Problem problem) {
        return problem.code() == ErrorCode.UNREACHABLE && problem.runState() == RunState.NOT_RUN;
    }

    private boolean mayRetry(Problem problem) {
        boolean harmless = mRepeatable || problem.runState() == RunState.NOT_RUN;
        return harmless
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
