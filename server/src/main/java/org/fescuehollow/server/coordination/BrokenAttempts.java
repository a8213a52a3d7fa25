package org.fescuehollow.server.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.fescuehollow.error.Problem;
import org.fescuehollow.server.suspects.SuspectsService;
import org.fescuehollow.suspects.CrashSuspects;

/**
 * Attempts whose connection broke, held until it is known whether their server crashed.
 *
 * <p>Invariant: each attempt added is released once. Used on the node's loop.
 */
final class BrokenAttempts {
    private final SuspectsService mSuspects;
    private final List<Runnable> mHeld = new ArrayList<>();
    private final Set<Long> mDigests = new LinkedHashSet<>();
    private boolean mServerLost;

    BrokenAttempts(SuspectsService suspects) {
        mSuspects = suspects;
    }

    /**
     * Holds a broken attempt.
     *
     * @param digest its call's digest
     * @param problem the break
     * @param release takes the problem with the count of crashes
     */
    void add(long digest, Problem problem, Consumer<Problem> release) {
        mDigests.add(digest);
        mHeld.add(() -> release.accept(problem.withCrashes(countOf(digest))));
    }

    private int countOf(long digest) {
        int known = mSuspects.count(digest);
        return mServerLost ? Math.min(CrashSuspects.LIMIT - 1, known + 1) : known;
    }

    boolean isEmpty() {
        return mHeld.isEmpty() && mDigests.isEmpty();
    }

    /** Takes that the server lives on: nothing crashed. */
    void survived() {
        mDigests.clear();
        release();
    }

    /** Takes proof of a crash; requests that still seem to run there are suspects too. */
    void crashed(Collection<Long> stillRunning) {
        mDigests.addAll(stillRunning);
        mSuspects.crashed(List.copyOf(mDigests));
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
