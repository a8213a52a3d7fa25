package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.fescuehollow.catalog.EngineSpec;
import org.fescuehollow.residency.ResidencyTable;
import org.junit.jupiter.api.Test;

/**
 * Replays, in virtual time, prompts that ask a quarter more than three engines can read: 9,000
 * tokens each at 30 tokens a millisecond, with an objective of one second. Requests that wait are
 * refused after 1.3 objectives.
 */
class PromptOverloadReplayTest {
    private static final int ENGINES = 3;
    private static final int TOKENS = 9_000;
    private static final int READ_MILLIS = TOKENS / 30;
    private static final int OBJECTIVE_MILLIS = 1_000;
    private static final int RUN_MILLIS = 60_000;
    private static final int STEP_MILLIS = 5;
    private static final double REQUESTS_PER_MILLI = 1.25 * ENGINES / READ_MILLIS;
    private static final AdapterKey BASE = new AdapterKey("m", "");

    private final Dispatcher mDispatcher = new Dispatcher("north", new ResidencyTable());
    private final Map<String, Deque<CallNeeds>> mReading = new HashMap<>();
    private final Map<String, Integer> mDoneMillis = new HashMap<>();
    private final WaitQueue<CallNeeds> mQueue = new WaitQueue<>(Function.identity());
    private int mInTime;
    private int mAsked;

    private static Engine engine(String id) {
        return new Engine(
                id, 1, "llm", "10.0.0.1", 80, "north", 64, false, 0, Set.of("m"), Map.of());
    }

    private CallNeeds call(int t) {
        long now = nanos(t);
        return new CallNeeds(
                "call-" + mAsked++,
                "llm",
                BASE,
                0,
                TOKENS,
                50,
                List.of(),
                0,
                now,
                now + nanos(OBJECTIVE_MILLIS),
                now + nanos(5_000),
                false);
    }

    private static long nanos(int millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    /** Returns the share of requests whose prompt was read within the objective. */
    private double inTime(boolean decided) {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(engine("e" + i));
            mReading.put("e" + i, new ArrayDeque<>());
        }
        EngineSpec spec = new EngineSpec(64, 2_000_000, 8, Map.of());
        mDispatcher.engines(engines, s -> Optional.of(spec));
        Random random = new Random(11);
        for (int t = 0; t < RUN_MILLIS; t += STEP_MILLIS) {
            if (random.nextDouble() < REQUESTS_PER_MILLI * STEP_MILLIS) {
                mQueue.add(call(t));
            }
            int now = t;
            mQueue.offer(c -> decided ? place(c, now) : sendAnywhere(c, random), nanos(t));
            mReading.forEach((engine, reading) -> read(engine, reading, now));
        }
        return (double) mInTime / mAsked;
    }

    private boolean place(CallNeeds call, int t) {
        long now = nanos(t);
        if (now - call.arrivedNanos() > nanos(OBJECTIVE_MILLIS) * 1.3) {
            return true;
        }
        if (mDispatcher.place(call, Set.of(), now) instanceof Placement.Send s) {
            mDispatcher.sent(s.engine(), call, now);
            mReading.get(s.engine()).add(call);
            return true;
        }
        return false;
    }

    private boolean sendAnywhere(CallNeeds call, Random random) {
        return mReading.get("e" + random.nextInt(ENGINES)).add(call);
    }

    private void read(String engine, Deque<CallNeeds> reading, int t) {
        if (reading.isEmpty()) {
            mDoneMillis.remove(engine);
            return;
        }
        int done = mDoneMillis.computeIfAbsent(engine, e -> t + READ_MILLIS);
        if (t >= done) {
            CallNeeds call = reading.remove();
            mDoneMillis.remove(engine);
            mDispatcher.answering(engine, call, nanos(t));
            mDispatcher.ended(engine, call);
            mInTime += nanos(t) <= call.targetNanos() ? 1 : 0;
        }
    }

    @Test
    void requests_sentAtOnceAreAllLate() {
        then(inTime(false)).isLessThan(0.2);
    }

    @Test
    void requests_heldBackAreMostlyInTime() {
        then(inTime(true)).isGreaterThan(0.6);
    }
}
