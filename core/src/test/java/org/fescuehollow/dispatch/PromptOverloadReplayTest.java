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
 * Replays, in virtual time, an overload in which prompts need 25 % more prefill than three engines
 * provide: 9,000 tokens each, 30 tokens per millisecond and engine, a latency objective of one
 * second. Waiting requests are rejected after 1.3 objectives. Guards against sending requests to
 * engines that can't prefill them in time, which makes nearly all of them late.
 */
class PromptOverloadReplayTest {
    private static final int ENGINES = 3;
    private static final int PROMPT_TOKENS = 9_000;
    private static final int PREFILL_MILLIS = PROMPT_TOKENS / 30;
    private static final int OBJECTIVE_MILLIS = 1_000;
    private static final int RUN_MILLIS = 60_000;
    private static final int STEP_MILLIS = 5;
    private static final double REQUESTS_PER_MILLI = 1.25 * ENGINES / PREFILL_MILLIS;
    private static final AdapterKey BASE = new AdapterKey("m", "");

    private final Dispatcher mDispatcher = new Dispatcher("north", new ResidencyTable());
    private final Map<String, Deque<DispatchRequest>> mPrefillQueues = new HashMap<>();
    private final Map<String, Integer> mDoneMillis = new HashMap<>();
    private final WaitQueue<DispatchRequest> mQueue = new WaitQueue<>(Function.identity());
    private int mOnTime;
    private int mRequestCount;

    private static Engine engine(String id) {
        return new Engine(
                id, 1, "llm", "v1", "10.0.0.1", 80, "north", 64, false, 0, Set.of("m"), Map.of());
    }

    private DispatchRequest request(int t) {
        long now = nanos(t);
        return new DispatchRequest(
                "call-" + mRequestCount++,
                "llm",
                BASE,
                0,
                PROMPT_TOKENS,
                50,
                List.of(),
                0,
                now,
                now + nanos(OBJECTIVE_MILLIS),
                now + nanos(5_000),
                false,
                Optional.empty());
    }

    private static long nanos(int millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    /** Returns the share of requests whose prefill ended within the objective. */
    private double onTimeShare(boolean useDispatcher) {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(engine("e" + i));
            mPrefillQueues.put("e" + i, new ArrayDeque<>());
        }
        EngineSpec spec = new EngineSpec(64, 2_000_000, 8, Map.of());
        mDispatcher.updateEngines(engines, s -> Optional.of(spec));
        Random random = new Random(11);
        for (int t = 0; t < RUN_MILLIS; t += STEP_MILLIS) {
            if (random.nextDouble() < REQUESTS_PER_MILLI * STEP_MILLIS) {
                mQueue.add(request(t));
            }
            int now = t;
            mQueue.removeAccepted(
                    c -> useDispatcher ? place(c, now) : sendToRandomEngine(c, random), nanos(t));
            mPrefillQueues.forEach(
                    (engine, prefillQueue) -> advancePrefill(engine, prefillQueue, now));
        }
        return (double) mOnTime / mRequestCount;
    }

    private boolean place(DispatchRequest request, int t) {
        long now = nanos(t);
        if (now - request.arrivalNanos() > nanos(OBJECTIVE_MILLIS) * 1.3) {
            return true;
        }
        if (mDispatcher.place(request, Set.of(), now) instanceof Placement.Send s) {
            mDispatcher.onSent(s.engine(), request, now);
            mPrefillQueues.get(s.engine()).add(request);
            return true;
        }
        return false;
    }

    private boolean sendToRandomEngine(DispatchRequest request, Random random) {
        return mPrefillQueues.get("e" + random.nextInt(ENGINES)).add(request);
    }

    private void advancePrefill(String engine, Deque<DispatchRequest> prefillQueue, int t) {
        if (prefillQueue.isEmpty()) {
            mDoneMillis.remove(engine);
            return;
        }
        int doneMillis = mDoneMillis.computeIfAbsent(engine, e -> t + PREFILL_MILLIS);
        if (t >= doneMillis) {
            DispatchRequest request = prefillQueue.remove();
            mDoneMillis.remove(engine);
            mDispatcher.onFirstEvent(engine, request, nanos(t));
            mDispatcher.onEnded(engine, request);
            mOnTime += nanos(t) <= request.objectiveNanos() ? 1 : 0;
        }
    }

    @Test
    void requests_sentImmediatelyAreMostlyLate() {
        then(onTimeShare(false)).isLessThan(0.2);
    }

    @Test
    void requests_queuedByDispatcherAreMostlyOnTime() {
        then(onTimeShare(true)).isGreaterThan(0.6);
    }
}
