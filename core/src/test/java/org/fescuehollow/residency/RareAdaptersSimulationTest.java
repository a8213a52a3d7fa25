package org.fescuehollow.residency;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.EngineState;
import org.junit.jupiter.api.Test;

/**
 * Simulates, in virtual time, more requests for rare adapters than the weight store can serve: 13
 * engines with 8 adapter slots, a store that serves 8 concurrent loads of 250 ms at full speed, and
 * 40 requests per second that each name a new adapter and time out after 1.1 s.
 */
class RareAdaptersSimulationTest {
    private static final int ENGINES = 13;
    private static final int SLOTS = 8;
    private static final int STORE_CAPACITY = 8;
    private static final double LOAD_MILLIS = 250;
    private static final int STEP_MILLIS = 5;
    private static final int TIMEOUT_MILLIS = 1_100;
    private static final int RUN_MILLIS = 30_000;
    private static final double REQUESTS_PER_MILLI = 0.04;

    private final List<AdapterScheduler> mSchedulers = new ArrayList<>();
    private final Map<AdapterKey, Double> mRemainingMillis = new HashMap<>();
    private final Map<AdapterKey, Integer> mWaiting = new HashMap<>();
    private int mServed;
    private int mLoaded;

    private double runAndGetServedFraction(IntPredicate allows) {
        EngineState empty = new EngineState(0, 0, 0, 0, 0, Set.of("m"), Map.of(), Map.of());
        for (int i = 0; i < ENGINES; i++) {
            mSchedulers.add(new AdapterScheduler(SLOTS, Optional.of("m"), empty));
        }
        Random random = new Random(7);
        int requests = 0;
        for (int t = 0; t < RUN_MILLIS; t += STEP_MILLIS) {
            if (random.nextDouble() < REQUESTS_PER_MILLI * STEP_MILLIS) {
                mWaiting.put(new AdapterKey("m", "a" + requests++), t);
            }
            int now = t;
            mWaiting.values().removeIf(since -> now - since > TIMEOUT_MILLIS);
            double speed =
                    Math.min(1, (double) STORE_CAPACITY / Math.max(1, mRemainingMillis.size()));
            mRemainingMillis.replaceAll((a, remaining) -> remaining - STEP_MILLIS * speed);
            step(allows, Duration.ofMillis(t).toNanos());
        }
        return (double) mServed / requests;
    }

    private void step(IntPredicate allows, long now) {
        mWaiting.keySet()
                .forEach(
                        a ->
                                schedulerOf(a)
                                        .addDemand(
                                                new AdapterDemand(a, 0, 0, deadlineNanos(a)), now));
        for (AdapterScheduler s : mSchedulers) {
            long expected = Duration.ofMillis((long) LOAD_MILLIS).toNanos();
            Optional<AdapterOrder> order =
                    s.nextOrder(
                            a -> false,
                            a -> allows.test(mRemainingMillis.size()),
                            a -> expected,
                            now);
            order.ifPresent(o -> s.onReply(o, reply(o), now));
        }
    }

    private long deadlineNanos(AdapterKey adapter) {
        return Duration.ofMillis(mWaiting.get(adapter) + TIMEOUT_MILLIS).toNanos();
    }

    private AdapterScheduler schedulerOf(AdapterKey adapter) {
        return mSchedulers.get(Math.floorMod(adapter.hashCode(), ENGINES));
    }

    private OrderReply reply(AdapterOrder order) {
        if (order.action() == AdapterOrder.Action.UNLOAD) {
            return OrderReply.HOLDS;
        }
        double remaining = mRemainingMillis.computeIfAbsent(order.adapter(), a -> LOAD_MILLIS);
        if (remaining > 0) {
            return OrderReply.UNDER_WAY;
        }
        mRemainingMillis.remove(order.adapter());
        mLoaded++;
        mServed += mWaiting.remove(order.adapter()) == null ? 0 : 1;
        return OrderReply.HOLDS;
    }

    @Test
    void unlimitedLoads_finishTooLate() {
        then(runAndGetServedFraction(n -> true)).isLessThan(0.35);
    }

    @Test
    void limitedLoads_serveMostRequests() {
        LoadConcurrencyLimit limit = new LoadConcurrencyLimit();
        then(runAndGetServedFraction(limit::allows)).isGreaterThan(0.6);
        then((double) mServed / mLoaded).isGreaterThan(0.8);
    }
}
