package org.fescuehollow.gateway.calls;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class CoalescedTaskTest {
    private final Queue<Runnable> mTurns = new ArrayDeque<>();
    private int mRuns;

    @Test
    void trigger_runsTheTaskOnceForABurst() {
        CoalescedTask task = new CoalescedTask(mTurns::add, () -> mRuns++);
        for (int i = 0; i < 500; i++) {
            task.trigger();
        }
        then(mRuns).isZero();
        mTurns.remove().run();
        then(mTurns).isEmpty();
        then(mRuns).isEqualTo(1);
    }

    @Test
    void trigger_fromTheTaskRunsItAgain() {
        CoalescedTask[] task = new CoalescedTask[1];
        task[0] =
                new CoalescedTask(
                        mTurns::add,
                        () -> {
                            if (mRuns++ == 0) {
                                task[0].trigger();
                            }
                        });
        task[0].trigger();
        while (!mTurns.isEmpty()) {
            mTurns.remove().run();
        }
        then(mRuns).isEqualTo(2);
    }

    @Test
    void trigger_afterAFailedTaskRunsItAgain() {
        CoalescedTask task =
                new CoalescedTask(
                        mTurns::add,
                        () -> {
                            mRuns++;
                            throw new IllegalStateException("failed");
                        });
        for (int i = 0; i < 2; i++) {
            task.trigger();
            try {
                mTurns.remove().run();
            } catch (IllegalStateException e) {
                then(e).hasMessage("failed");
            }
        }
        then(mRuns).isEqualTo(2);
    }
}
