package org.fescuehollow.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.error.RunState;

/** Observes what engines and clients see, and records each violated invariant. */
final class InvariantChecker {
    private final List<String> mViolations = new ArrayList<>();
    private final Map<String, Integer> mExecutionsByKey = new TreeMap<>();
    private final Set<String> mExecutedCallIds = new TreeSet<>();
    private final Map<String, String> mResultsByCallId = new TreeMap<>();
    private final Map<String, SimulatedCall> mCallsById = new TreeMap<>();

    void onCall(SimulatedCall call) {
        mCallsById.put(call.id(), call);
    }

    void onExecution(SimulatedCall call, String adapter, boolean resident) {
        mExecutionsByKey.merge(call.key(), 1, Integer::sum);
        mExecutedCallIds.add(call.id());
        check(resident, "ran without its adapter: " + call);
        check(adapter.equals(call.adapter().toString()), "wrong adapter for " + call);
        boolean ranTwice = !call.repeatable() && mExecutionsByKey.get(call.key()) > 1;
        check(!ranTwice, "ran twice: " + call);
    }

    void onUnload(String adapter, int running) {
        check(running == 0, "evicted in use: " + adapter);
    }

    void onStartAfterLeaving(SimulatedCall call, long seconds) {
        check(seconds < 5, "new work " + seconds + " s after leaving: " + call);
    }

    void onResult(SimulatedCall call, CallResult result) {
        check(mResultsByCallId.put(call.id(), "" + result) == null, "answered twice: " + call);
        if (result.problem().isPresent()) {
            boolean ran =
                    call.repeatable()
                            ? mExecutedCallIds.contains(call.id())
                            : mExecutionsByKey.containsKey(call.key());
            boolean reportedNotRun = result.problem().get().runState() == RunState.NOT_RUN;
            check(!(ran && reportedNotRun), "reported as not run, but ran: " + call + " " + result);
        } else {
            check(
                    result.text().equals(call.expectedText()),
                    "wrong answer for " + call + ": " + result);
        }
    }

    void onSettingsChange(String node, long before, long after) {
        check(
                after >= before,
                "settings revision decreased at " + node + ": " + before + " to " + after);
    }

    void check(boolean holds, String violation) {
        if (!holds) {
            mViolations.add(violation);
        }
    }

    /** Checks that each call was answered, except for those whose entry node crashed. */
    void checkAllCallsAnswered(Set<String> lostCalls) {
        mCallsById.keySet().stream()
                .filter(id -> !mResultsByCallId.containsKey(id) && !lostCalls.contains(id))
                .forEach(id -> check(false, "never answered: " + mCallsById.get(id)));
    }

    long successCount() {
        return mResultsByCallId.values().stream().filter(a -> a.startsWith("success")).count();
    }

    List<String> violations() {
        return mViolations;
    }
}
