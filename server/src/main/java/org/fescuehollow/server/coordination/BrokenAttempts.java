package org.fescuehollow.server.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.server.suspects.SuspectsService;
import org.fescuehollow.suspects.CrashSuspects;

/**
 * Attempts whose connection broke, held until it is known whether their server crashed.
 *
 * <p>Invariants: each attempt added is released once; an attempt counts for at most one crash,
 * however late its break is noticed. Used on the node's loop.
 */
final class BrokenAttempts {
    private final SuspectsService mSuspects;
    private final List<Runnable> mHeld = new ArrayList<>();
    private final Map<String, Long> mDigests = new LinkedHashMap<>();
    private final Set<String> mCounted = new HashSet<>();
    private boolean mServerLost;

    BrokenAttempts(SuspectsService suspects) {
        mSuspects = suspects;
    }

    /**
     * Takes a broken attempt.
     *
     * @param attempt the attempt
     * @param digest its call's digest
     * @param problem the break
     * @param release takes the problem with the count of crashes
     * @return true if it is held until the server's state is known
     */
    boolean add(String attempt, long digest, Problem problem, Consumer<Problem> release) {
        if (mCounted.remove(attempt)) {
            release.accept(problem.withCrashCount(countOf(digest)));
            return false;
        }
        mDigests.put(attempt, digest);
        mHeld.add(() -> release.accept(problem.withCrashCount(countOf(digest))));
        return true;
    }

    private int countOf(long digest) {
        int known = mSuspects.count(digest);
        return mServerLost ? Math.min(CrashSuspects.CRASH_LIMIT - 1, known + 1) : known;
    }

    boolean isEmpty() {
        return mDigests.isEmpty();
    }

    /** Takes that the server lives on: nothing crashed. */
    void survived() {
        mDigests.clear();
        release();
    }

    /** Takes proof of a crash; requests that still seem to run there are suspects too. */
    void crashed(Map<String, Long> stillRunning) {
        stillRunning.forEach(mDigests::putIfAbsent);
        mCounted.clear();
        mCounted.addAll(stillRunning.keySet());
        mSuspects.crashed(List.copyOf(mDigests.values()));
        mDigests.clear();
        release();
    }

    /** Takes that the server is silent: the proof may follow, the callers needn't wait for it. */
    void silent() {
        mServerLost = true;
        release();
        mServerLost = false;
    }

    private void release() {
        List<Runnable> held = List.copyOf(mHeld);
        mHeld.clear();
        held.forEach(Runnable::run);
    }
}
