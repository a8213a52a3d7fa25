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

/** One engine as the world sees it: holds few adapters, runs calls, can crash. */
final class FakeEngine {
    private static final int ADAPTER_SLOTS = 2;

    private final SimulatedCluster mCluster;
    private final Vm mVm;
    private final Map<AdapterRef, Integer> mRunningByAdapter = new TreeMap<>();
    private final Map<String, Runnable> mCrashCallbacks = new LinkedHashMap<>();
    private int mIncarnation;
    private int mCrashCount;
    private long mLeavingSinceNanos = Long.MAX_VALUE;

    FakeEngine(SimulatedCluster world, Vm vm) {
        mCluster = world;
        mVm = vm;
    }

    Vm vm() {
        return mVm;
    }

    void markLeaving(long now) {
        mLeavingSinceNanos = now;
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

    /** Runs a call; the callbacks say what became of it. */
    void runCall(SimulatedCall call, Consumer<String> whole, Consumer<Boolean> broken) {
        if (!mRunningByAdapter.containsKey(call.adapter())) {
            broken.accept(false);
            return;
        }
        if (mCluster.nowNanos() > mLeavingSinceNanos) {
            long seconds = Duration.ofNanos(mCluster.nowNanos() - mLeavingSinceNanos).toSeconds();
            mCluster.checker().onStartAfterLeaving(call, seconds);
        }
        mCluster.checker().onExecution(call, "" + call.adapter(), true);
        mRunningByAdapter.merge(call.adapter(), 1, Integer::sum);
        String run = "run" + mCluster.nextNumber();
        mCrashCallbacks.put(run, () -> broken.accept(true));
        int life = mIncarnation;
        mCluster.scheduleAfter(30, () -> reachPhase(life, InjectionPoint.FIRST_TOKEN, call));
        mCluster.scheduleAfter(90, () -> reachPhase(life, InjectionPoint.MID_STREAM, call));
        mCluster.scheduleAfter(150, () -> finishCall(life, run, call, whole));
    }

    private void reachPhase(int life, InjectionPoint step, SimulatedCall call) {
        if (life == mIncarnation) {
            if (call.crashesEngine()) {
                crash();
            } else {
                mCluster.reachInjectionPoint(step, mCluster.randomServingNode(), this);
            }
        }
    }

    private void finishCall(int life, String run, SimulatedCall call, Consumer<String> whole) {
        if (life != mIncarnation) {
            return;
        }
        mCluster.reachInjectionPoint(InjectionPoint.END, mCluster.randomServingNode(), this);
        if (life == mIncarnation) {
            mCrashCallbacks.remove(run);
            mRunningByAdapter.computeIfPresent(call.adapter(), (a, n) -> n - 1);
            whole.accept(call.expectedText());
        }
    }

    void crash() {
        mIncarnation++;
        mCrashCount++;
        mRunningByAdapter.clear();
        List<Runnable> breaks = List.copyOf(mCrashCallbacks.values());
        mCrashCallbacks.clear();
        breaks.forEach(Runnable::run);
    }

    int crashCount() {
        return mCrashCount;
    }
}
