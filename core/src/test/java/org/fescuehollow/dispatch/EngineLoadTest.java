package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Engine;
import org.junit.jupiter.api.Test;

class EngineLoadTest {
    private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");
    private static final Engine ENGINE =
            new Engine(
                    "e1", 1, "llm", "v1", "10.0.0.1", 80, "d", 4, false, 0, Set.of("m"), Map.of());
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final EngineLoad mLoad = new EngineLoad(ENGINE);

    private static DispatchRequest request(String id, int tokens) {
        return new DispatchRequest(
                id,
                "llm",
                ADAPTER,
                0,
                tokens,
                50,
                List.of(),
                0,
                0,
                SECOND_NANOS,
                5 * SECOND_NANOS,
                false,
                Optional.empty());
    }

    private static EngineLoad.Work work(int running) {
        return new EngineLoad.Work(running, running * 10L, running * 100L);
    }

    @Test
    void ownWork_isTheSumOfTheOpenRequests() {
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            EngineLoad load = new EngineLoad(ENGINE);
            Map<String, DispatchRequest> open = new HashMap<>();
            Map<String, Integer> pending = new HashMap<>();
            for (int step = 0; step < 200; step++) {
                DispatchRequest r = request("r" + random.nextInt(12), 100 + random.nextInt(900));
                switch (random.nextInt(3)) {
                    case 0 -> {
                        load.onSent(r, 50_000, step);
                        open.put(r.id(), r);
                        pending.put(r.id(), r.promptTokens());
                    }
                    case 1 -> {
                        DispatchRequest known = open.getOrDefault(r.id(), r);
                        load.onFirstEvent(known, step);
                        pending.computeIfPresent(r.id(), (id, tokens) -> 0);
                    }
                    default -> {
                        load.onEnded(r);
                        open.remove(r.id());
                        pending.remove(r.id());
                    }
                }
                int tokens = pending.values().stream().mapToInt(t -> t).sum();
                int cache = open.values().stream().mapToInt(o -> o.kvCacheTokens()).sum();
                EngineLoad.Work expected = new EngineLoad.Work(open.size(), tokens, cache);
                then(load.ownWork()).isEqualTo(expected);
                then(load.totalWork(step)).isEqualTo(expected);
            }
        }
    }

    @Test
    void totalWork_countsAPeerReportForOneSecond() {
        mLoad.updatePeerWork("n1", work(2), Set.of(), 0);
        mLoad.updatePeerWork("n2", work(3), Set.of(), SECOND_NANOS / 2);
        then(mLoad.totalWork(SECOND_NANOS)).isEqualTo(work(5));
        then(mLoad.totalWork(SECOND_NANOS + 1)).isEqualTo(work(3));
        then(mLoad.totalWork(SECOND_NANOS * 3 / 2 + 1)).isEqualTo(EngineLoad.Work.NONE);
    }

    @Test
    void totalWork_followsEachReport() {
        mLoad.updatePeerWork("n1", work(2), Set.of(), 0);
        then(mLoad.totalWork(0)).isEqualTo(work(2));
        mLoad.updatePeerWork("n1", work(4), Set.of(), 1);
        then(mLoad.totalWork(1)).isEqualTo(work(4));
        mLoad.updatePeerWork("n1", EngineLoad.Work.NONE, Set.of(), 2);
        then(mLoad.totalWork(2)).isEqualTo(EngineLoad.Work.NONE);
    }

    @Test
    void totalWork_prefersTheHoldersReportWhileItIsCurrent() {
        mLoad.updatePeerWork("n1", work(1), Set.of(), 6 * SECOND_NANOS);
        mLoad.updateFleetWork(work(7), 0);
        then(mLoad.totalWork(6 * SECOND_NANOS)).isEqualTo(work(7));
        then(mLoad.totalWork(6 * SECOND_NANOS + 1)).isEqualTo(work(1));
    }
}
