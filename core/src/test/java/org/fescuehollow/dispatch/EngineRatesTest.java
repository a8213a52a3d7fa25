package org.fescuehollow.dispatch;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehollow.catalog.Engine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays nodes of a fleet that have more requests for an engine than it takes. */
class EngineRatesTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int WINDOW_SECONDS = 4;
    private static final Engine ENGINE = engine("i-1", 1);

    private static Engine engine(String id, long startedMillis) {
        return new Engine(
                id,
                startedMillis,
                "llm",
                "v1",
                "10.0.0.1",
                80,
                "north",
                4,
                false,
                0,
                Set.of(),
                Map.of());
    }

    private static List<EngineRates> fleet(int nodes) {
        Set<String> names =
                IntStream.range(0, nodes).mapToObj(i -> "node-" + i).collect(Collectors.toSet());
        return IntStream.range(0, nodes)
                .mapToObj(
                        i -> {
                            EngineRates rates = new EngineRates();
                            Set<String> others =
                                    names.stream()
                                            .filter(n -> !n.equals("node-" + i))
                                            .collect(Collectors.toSet());
                            rates.setNodes("node-" + i, others);
                            return rates;
                        })
                .toList();
    }

    private static boolean trySend(EngineRates rates, long now) {
        boolean sent = rates.maySend(ENGINE, now);
        if (sent) {
            rates.onSent(ENGINE.id());
        }
        return sent;
    }

    private static long mostInAWindow(List<Long> sent) {
        long window = WINDOW_SECONDS * SECOND_NANOS;
        return sent.stream()
                .mapToLong(s -> sent.stream().filter(t -> t >= s && t - s <= window).count())
                .max()
                .orElse(0);
    }

    /** One and a half times what the rate allows in the window, and five requests. */
    private static double mostAllowed(double perSecond) {
        return 1.5 * perSecond * WINDOW_SECONDS + 5;
    }

    @ParameterizedTest
    @CsvSource({"9,1", "9,1.2", "9,0", "9,0.3", "9,20", "95,1", "95,30", "410,2", "410,100", "1,3"})
    void nodes_togetherSendWhatTheEngineTakes(int nodes, double perSecond) {
        List<EngineRates> fleet = fleet(nodes);
        fleet.forEach(r -> r.onResponse(ENGINE, OptionalDouble.of(perSecond), 0));
        List<Long> sent = new ArrayList<>();
        for (long now = 0; now < 30 * SECOND_NANOS; now += 10 * MILLI_NANOS) {
            for (EngineRates rates : fleet) {
                while (trySend(rates, now)) {
                    sent.add(now);
                }
            }
        }
        then(mostInAWindow(sent)).isLessThanOrEqualTo((long) mostAllowed(perSecond));
        then(sent.size()).isGreaterThanOrEqualTo((int) (0.8 * 30 * perSecond) - 5);
    }

    @ParameterizedTest
    @CsvSource({"9,1", "9,5", "95,1", "95,30"})
    void nodes_thatWereIdleSendNoMoreTogether(int nodes, double perSecond) {
        List<EngineRates> fleet = fleet(nodes);
        fleet.forEach(r -> r.onResponse(ENGINE, OptionalDouble.of(perSecond), 0));
        Random random = new Random(nodes);
        List<Long> sent = new ArrayList<>();
        for (long now = 0; now < 60 * SECOND_NANOS; now += 10 * MILLI_NANOS) {
            boolean burst = now / SECOND_NANOS % 10 >= 8;
            for (EngineRates rates : fleet) {
                while (burst && random.nextBoolean() && trySend(rates, now)) {
                    sent.add(now);
                }
            }
        }
        then(mostInAWindow(sent)).isBetween(1L, (long) mostAllowed(perSecond));
    }

    @Test
    void nodes_thatComeAndGoSendNoMoreTogether() {
        List<EngineRates> fleet = fleet(20);
        fleet.forEach(r -> r.onResponse(ENGINE, OptionalDouble.of(2), 0));
        List<Long> sent = new ArrayList<>();
        for (long now = 0; now < 60 * SECOND_NANOS; now += 10 * MILLI_NANOS) {
            int gone = (int) (now / SECOND_NANOS % 20);
            for (int i = 0; i < 20; i++) {
                int self = i;
                Set<String> others =
                        IntStream.range(0, 20)
                                .filter(n -> n != self && n != gone)
                                .mapToObj(n -> "node-" + n)
                                .collect(Collectors.toSet());
                fleet.get(i).setNodes("node-" + i, others);
                if (i != gone && trySend(fleet.get(i), now)) {
                    sent.add(now);
                }
            }
        }
        then(mostInAWindow(sent)).isBetween(1L, (long) mostAllowed(2));
    }

    @Test
    void rate_isLiftedByAResponseWithoutItButNotByAnOldOne() {
        EngineRates rates = fleet(1).get(0);
        rates.onResponse(ENGINE, OptionalDouble.of(1), 0);
        then(rates.onResponse(ENGINE, OptionalDouble.empty(), SECOND_NANOS)).isEmpty();
        then(rates.inForce()).containsEntry(ENGINE.id(), 1.0);
        then(rates.onResponse(ENGINE, OptionalDouble.empty(), 3 * SECOND_NANOS)).isPresent();
        then(rates.inForce()).isEmpty();
    }

    @Test
    void rate_isKeptWhileNoResponseComes() {
        EngineRates rates = fleet(1).get(0);
        rates.onResponse(ENGINE, OptionalDouble.of(1), 0);
        then(rates.inForce()).hasSize(1);
        then(rates.maySend(ENGINE, 100 * MILLI_NANOS)).isFalse();
        then(rates.maySend(ENGINE, 3_600 * SECOND_NANOS)).isTrue();
        then(rates.inForce()).hasSize(1);
    }

    @Test
    void rate_ofAnotherIncarnationDoesNotLimit() {
        EngineRates rates = fleet(1).get(0);
        rates.onResponse(ENGINE, OptionalDouble.of(1), 0);
        Engine restarted = engine(ENGINE.id(), 2);
        then(rates.maySend(restarted, MILLI_NANOS)).isTrue();
        rates.retain(List.of(restarted));
        then(rates.inForce()).isEmpty();
    }

    @Test
    void rate_isToldToOtherNodes() {
        List<EngineRates> fleet = fleet(2);
        EngineRates.EngineWord word =
                fleet.get(0).onResponse(ENGINE, OptionalDouble.of(1), 0).orElseThrow();
        then(fleet.get(1).onTold(engine(ENGINE.id(), 2), word, 1)).isFalse();
        then(fleet.get(1).onTold(ENGINE, word, 1)).isTrue();
        then(fleet.get(1).maySend(ENGINE, 1)).isFalse();
        fleet.get(0).onResponse(ENGINE, OptionalDouble.empty(), 3 * SECOND_NANOS);
        then(fleet.get(1).onTold(ENGINE, fleet.get(0).words(4 * SECOND_NANOS).get(0), 4)).isTrue();
        then(fleet.get(1).maySend(ENGINE, 4 * SECOND_NANOS)).isTrue();
    }

    @Test
    void rate_isLiftedWhileNodesTellEachOtherWithDelay() {
        List<EngineRates> fleet = fleet(2);
        fleet.get(0).onResponse(ENGINE, OptionalDouble.of(1), 0);
        long delay = 100 * MILLI_NANOS;
        for (long now = delay; now <= 4 * SECOND_NANOS; now += delay) {
            for (int i = 0; i < 2; i++) {
                for (EngineRates.EngineWord word : fleet.get(i).words(now)) {
                    RateWord late = RateWord.named(1, word.word().namedNanos() + delay);
                    fleet.get(1 - i)
                            .onTold(ENGINE, new EngineRates.EngineWord(ENGINE.id(), 1, late), now);
                }
            }
        }
        fleet.get(0).onResponse(ENGINE, OptionalDouble.empty(), 4 * SECOND_NANOS);
        then(fleet.get(0).inForce()).isEmpty();
    }

    @Test
    void words_areToldForAMinute() {
        EngineRates rates = fleet(1).get(0);
        rates.onResponse(ENGINE, OptionalDouble.of(1), 0);
        then(rates.words(59 * SECOND_NANOS)).hasSize(1);
        then(rates.words(60 * SECOND_NANOS)).isEmpty();
    }
}
