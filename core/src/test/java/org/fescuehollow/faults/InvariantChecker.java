package org.fescuehollow.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.error.RunState;

/** Watches what servers and callers see, and names each broken promise. */
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
        boolean twice = !call.repeatable() && mExecutionsByKey.get(call.key()) > 1;
        check(!twice, "ran twice: " + call);
    }

    void onUnload(String adapter, int running) {
        check(running == 0, "evicted in use: " + adapter);
    }

    void onStartAfterLeaving(SimulatedCall call, long seconds) {
        check(seconds < 5, "new work " + seconds + " s after leaving: " + call);
    }

    void onResult(SimulatedCall call, CallResult answer) {
        check(mResultsByCallId.put(call.id(), "" + answer) == null, "answered twice: " + call);
        if (answer.problem().isPresent()) {
            boolean ran =
                    call.repeatable()
                            ? mExecutedCallIds.contains(call.id())
                            : mExecutionsByKey.containsKey(call.key());
            boolean saysNot = answer.problem().get().runState() == RunState.NOT_RUN;
            check(!(ran && saysNot), "told not run, but ran: " + call + " " + answer);
        } else {
            check(
                    answer.text().equals(call.expectedText()),
                    "wrong answer for " + call + ": " + answer);
        }
    }

    void onSettingsChange(String node, long before, long after) {
        check(after >= before, "settings went back at " + node + ": " + before + " to " + after);
    }

    void check(boolean holds, String violation) {
        if (!holds) {
            mViolations.add(violation);
        }
    }

    /** Calls whose entry node lived on must have been answered. */
    void checkAllCallsAnswered(Set<String> lostCallers) {
        mCallsById.keySet().stream()
                .filter(id -> !mResultsByCallId.containsKey(id) && !lostCallers.contains(id))
                .forEach(id -> check(false, "never answered: " + mCallsById.get(id)));
    }

    long successCount() {
        return mResultsByCallId.values().stream().filter(a -> a.startsWith("whole")).count();
    }

    List<String> violations() {
        return mViolations;
    }
}
