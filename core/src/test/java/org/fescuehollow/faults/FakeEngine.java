package org.fescuehollow.faults;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.placement.EngineReport;

/** A simulated engine: holds a few adapters, runs calls, and can crash. */
final class FakeEngine {
    private static final int ADAPTER_SLOTS = 2;

    private final SimulatedCluster mCluster;
    private final Vm mVm;
    private final Map<AdapterRef, Integer> mRunningByAdapter = new TreeMap<>();
    private final Map<String, Runnable> mCrashCallbacks = new LinkedHashMap<>();
    private int mIncarnation;
    private int mCrashCount;
    private long mLeavingSinceNanos = Long.MAX_VALUE;

    FakeEngine(SimulatedCluster cluster, Vm vm) {
        mCluster = cluster;
        mVm = vm;
    }

    Vm vm() {
        return mVm;
    }

    void markLeaving(long nowNanos) {
        mLeavingSinceNanos = nowNanos;
    }

    EngineReport report() {
        return new EngineReport("life" + mIncarnation, new TreeMap<>(mRunningByAdapter), 0);
    }

    boolean load(AdapterRef adapter) {
        if (mRunningByAdapter.size() >= ADAPTER_SLOTS && !mRunningByAdapter.containsKey(adapter)) {
            return false;
        }
        mRunningByAdapter.putIfAbsent(adapter, 0);
        return true;
    }

    void unload(AdapterRef adapter) {
        mCluster.checker().onUnload("" + adapter, mRunningByAdapter.getOrDefault(adapter, 0));
        mRunningByAdapter.remove(adapter);
    }

    /** Runs a call. If it fails, {@code onFailure} receives whether the call was started. */
    void runCall(SimulatedCall call, Consumer<String> onSuccess, Consumer<Boolean> onFailure) {
        if (!mRunningByAdapter.containsKey(call.adapter())) {
            onFailure.accept(false);
            return;
        }
        if (mCluster.now() > mLeavingSinceNanos) {
            long seconds = Duration.ofNanos(mCluster.now() - mLeavingSinceNanos).toSeconds();
            mCluster.checker().onStartAfterLeaving(call, seconds);
        }
        mCluster.checker().onExecution(call, "" + call.adapter(), true);
        mRunningByAdapter.merge(call.adapter(), 1, Integer::sum);
        String runId = "run" + mCluster.nextNumber();
        mCrashCallbacks.put(runId, () -> onFailure.accept(true));
        int incarnation = mIncarnation;
        mCluster.schedule(30, () -> reachPhase(incarnation, InjectionPoint.FIRST_TOKEN, call));
        mCluster.schedule(90, () -> reachPhase(incarnation, InjectionPoint.MID_STREAM, call));
        mCluster.schedule(150, () -> finishCall(incarnation, runId, call, onSuccess));
    }

    private void reachPhase(int incarnation, InjectionPoint point, SimulatedCall call) {
        if (incarnation == mIncarnation) {
            if (call.crashesEngine()) {
                crash();
            } else {
                mCluster.injectAt(point, mCluster.randomServingNode(), this);
            }
        }
    }

    private void finishCall(
            int incarnation, String runId, SimulatedCall call, Consumer<String> onSuccess) {
        if (incarnation != mIncarnation) {
            return;
        }
        mCluster.injectAt(InjectionPoint.END, mCluster.randomServingNode(), this);
        if (incarnation == mIncarnation) {
            mCrashCallbacks.remove(runId);
            mRunningByAdapter.computeIfPresent(call.adapter(), (a, n) -> n - 1);
            onSuccess.accept(call.expectedText());
        }
    }

    void crash() {
        mIncarnation++;
        mCrashCount++;
        mRunningByAdapter.clear();
        List<Runnable> callbacks = List.copyOf(mCrashCallbacks.values());
        mCrashCallbacks.clear();
        callbacks.forEach(Runnable::run);
    }

    int crashCount() {
        return mCrashCount;
    }
}
