package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineSilenceTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration PAUSE = Duration.ofMillis(300);
    private static final Duration OBJECTIVE = Duration.ofMillis(1_000);

    private final EngineSilence mSilence = new EngineSilence(STEP, 0);
    private long mNow;

    private EngineSilence.Stream open(String engine) {
        return mSilence.open(engine, PAUSE, OBJECTIVE);
    }

    /** Returns what is silent after some time in short steps. */
    private List<EngineSilence.Stream> after(int millis) {
        List<EngineSilence.Stream> silent = List.of();
        for (long t = 0; t < millis; t += STEP.toMillis()) {
            mNow += STEP.toNanos();
            silent = mSilence.silent(mNow);
        }
        return silent;
    }

    @Test
    void silent_afterThreePausesWithoutAWord() {
        EngineSilence.Stream stream = open("e");
        stream.heard();
        then(after(800)).isEmpty();
        then(after(100)).containsExactly(stream);
    }

    @Test
    void silent_beforeTheFirstEventAfterTwoObjectives() {
        EngineSilence.Stream stream = open("e");
        then(after(1_900)).isEmpty();
        then(after(100)).containsExactly(stream);
    }

    @Test
    void silent_notWhileTheEngineWritesForOthers() {
        open("e").heard();
        EngineSilence.Stream other = open("e");
        for (int i = 0; i < 30; i++) {
            other.heard();
            then(after(200)).isEmpty();
        }
    }

    @Test
    void silent_thoughNewRequestsAreSentToTheEngine() {
        EngineSilence.Stream stream = open("e");
        stream.heard();
        for (int i = 0; i < 4; i++) {
            after(200);
            open("e");
        }
        then(after(100)).containsExactly(stream);
    }

    @Test
    void silent_notByAPauseOfThisProcess() {
        open("e").heard();
        mNow += Duration.ofSeconds(10).toNanos();
        then(mSilence.silent(mNow)).isEmpty();
    }

    @Test
    void quiet_countsSinceSomethingCame() {
        EngineSilence.Stream stream = open("e");
        after(300);
        stream.heard();
        after(200);
        then(stream.quiet()).isEqualTo(Duration.ofMillis(200));
    }

    @Test
    void silent_notAfterItsEnd() {
        EngineSilence.Stream stream = open("e");
        stream.heard();
        stream.close();
        stream.close();
        then(after(2_000)).isEmpty();
    }
}
