package org.fescuehollow.bench.capacity;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Priority;
import org.fescuehollow.placement.AdmissionMode;
import org.fescuehollow.placement.AttemptSpec;
import org.fescuehollow.placement.EngineCoordinator;
import org.fescuehollow.placement.EngineReport;
import org.fescuehollow.placement.EvictionPolicy;
import org.fescuehollow.placement.PermitPool;
import org.fescuehollow.settings.FencingSupport;
import org.fescuehollow.settings.ServicePolicy;
import org.fescuehollow.settings.Weighting;

/**
 * Drives one coordinator under steady load, in virtual time.
 *
 * <p>Not safe for concurrent use.
 */
final class CoordinatorLoad {
    private static final int SLOTS = 16;
    private static final long STEP_NANOS = 1_000_000;
    private static final long START_TIMEOUT_NANOS = Duration.ofHours(1).toNanos();

    private final EngineCoordinator mCoordinator;
    private long mNowNanos;
    private long mNextId;
    private long mOldestId;

    private CoordinatorLoad(int batch) {
        ServicePolicy policy =
                new ServicePolicy(
                        "svc",
                        true,
                        SLOTS,
                        batch,
                        256,
                        Weighting.STALLS_FIRST,
                        FencingSupport.CHECKED);
        PermitPool permitPool = new PermitPool("n", 0, 1_000_000_000L);
        mCoordinator =
                new EngineCoordinator(
                        "engine", "n", policy, EvictionPolicy.LEAST_FREQUENTLY_USED, permitPool);
        mCoordinator.beginTerm(0, 0);
        SortedMap<AdapterRef, Integer> resident = new TreeMap<>();
        IntStream.range(0, SLOTS).forEach(i -> resident.put(adapter(i), 0));
        mCoordinator.onReport(0, 0, new EngineReport("life", resident, 0));
    }

    static CoordinatorLoad withRunning(int batch) {
        CoordinatorLoad load = new CoordinatorLoad(batch);
        IntStream.range(0, batch).forEach(i -> load.submit(i % SLOTS));
        return load;
    }

    static CoordinatorLoad withWaiting(int waiting) {
        CoordinatorLoad load = withRunning(16);
        IntStream.range(0, waiting).forEach(i -> load.submit(SLOTS + i));
        return load;
    }

    private static AdapterRef adapter(int i) {
        return new AdapterRef("adapter-" + i, "v1");
    }

    private void submit(int adapter) {
        mCoordinator.submit(
                mNowNanos,
                new AttemptSpec(
                        "w" + mNextId++,
                        "team-" + adapter % 5,
                        1,
                        Priority.STANDARD,
                        Optional.of(adapter(adapter)),
                        mNowNanos,
                        mNowNanos + START_TIMEOUT_NANOS,
                        AdmissionMode.ALWAYS,
                        0,
                        false));
    }

    /** Repeatedly finishes the oldest request and submits a new one. */
    void finishAndSubmit(int rounds) {
        for (int i = 0; i < rounds; i++) {
            mNowNanos += STEP_NANOS;
            mCoordinator.onFinished(mNowNanos, "w" + mOldestId++);
            submit((int) (mNextId % SLOTS));
        }
    }

    void tick(int rounds) {
        for (int i = 0; i < rounds; i++) {
            mNowNanos += STEP_NANOS;
            mCoordinator.tick(mNowNanos);
        }
    }
}
