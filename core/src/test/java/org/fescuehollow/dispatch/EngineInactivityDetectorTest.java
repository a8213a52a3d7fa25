package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineInactivityDetectorTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration MAX_PAUSE = Duration.ofMillis(300);
    private static final Duration OBJECTIVE = Duration.ofMillis(1_000);

    private final EngineInactivityDetector mDetector = new EngineInactivityDetector(STEP, 0);
    private long mNow;

    private EngineInactivityDetector.Stream openStream(String engine) {
        return mDetector.openStream(engine, MAX_PAUSE, OBJECTIVE);
    }

    /** Advances the time in short steps; returns the streams that are inactive at the end. */
    private List<EngineInactivityDetector.Stream> advance(int millis) {
        List<EngineInactivityDetector.Stream> inactive = List.of();
        for (long t = 0; t < millis; t += STEP.toMillis()) {
            mNow += STEP.toNanos();
            inactive = mDetector.pollInactive(mNow);
        }
        return inactive;
    }

    @Test
    void pollInactive_afterThreePausesWithoutEvents() {
        EngineInactivityDetector.Stream stream = openStream("e");
        stream.onEvent();
        then(advance(800)).isEmpty();
        then(advance(100)).containsExactly(stream);
    }

    @Test
    void pollInactive_afterTwoObjectivesWithoutFirstEvent() {
        EngineInactivityDetector.Stream stream = openStream("e");
        then(advance(1_900)).isEmpty();
        then(advance(100)).containsExactly(stream);
    }

    @Test
    void pollInactive_emptyWhileEngineWritesOtherStreams() {
        openStream("e").onEvent();
        EngineInactivityDetector.Stream other = openStream("e");
        for (int i = 0; i < 30; i++) {
            other.onEvent();
            then(advance(200)).isEmpty();
        }
    }

    @Test
    void pollInactive_unaffectedByNewRequests() {
        EngineInactivityDetector.Stream stream = openStream("e");
        stream.onEvent();
        for (int i = 0; i < 4; i++) {
            advance(200);
            openStream("e");
        }
        then(advance(100)).containsExactly(stream);
    }

    @Test
    void pollInactive_emptyAfterPauseOfThisProcess() {
        openStream("e").onEvent();
        mNow += Duration.ofSeconds(10).toNanos();
        then(mDetector.pollInactive(mNow)).isEmpty();
    }

    @Test
    void idleTime_countsFromLastEvent() {
        EngineInactivityDetector.Stream stream = openStream("e");
        advance(300);
        stream.onEvent();
        advance(200);
        then(stream.idleTime()).isEqualTo(Duration.ofMillis(200));
    }

    @Test
    void pollInactive_ignoresClosedStream() {
        EngineInactivityDetector.Stream stream = openStream("e");
        stream.onEvent();
        stream.close();
        stream.close();
        then(advance(2_000)).isEmpty();
    }
}
