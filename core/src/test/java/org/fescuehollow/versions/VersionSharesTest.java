package org.fescuehollow.versions;

import static org.assertj.core.api.BDDAssertions.then;
import static org.assertj.core.api.BDDAssertions.within;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.fescuehollow.catalog.Engine;
import org.junit.jupiter.api.Test;

class VersionSharesTest {
    private static final int STREAMS = 2_000;

    @Provide
    Arbitrary<Map<String, Integer>> engines() {
        Arbitrary<String> versions = Arbitraries.of("v1", "v1.1", "v2", "v3", "");
        return Arbitraries.maps(versions, Arbitraries.integers().between(1, 50)).ofMinSize(1);
    }

    private static List<String> ids(int salt) {
        return IntStream.range(0, STREAMS).mapToObj(i -> salt + "-" + i).toList();
    }

    private static VersionShares shares(Map<String, Integer> engines) {
        return new VersionShares(engines);
    }

    private static double share(VersionShares shares, String version, int salt) {
        return ids(salt).stream().filter(i -> shares.pick(i).orElseThrow().equals(version)).count()
                / (double) STREAMS;
    }

    /** The bound is five standard deviations. */
    @Property(tries = 100, seed = "47")
    void pick_isInProportionToTheEngines(
            @ForAll("engines") Map<String, Integer> engines, @ForAll int salt) {
        double all = engines.values().stream().mapToInt(c -> c).sum();
        engines.forEach(
                (version, count) ->
                        then(share(shares(engines), version, salt))
                                .isCloseTo(count / all, within(5 * 0.5 / Math.sqrt(STREAMS))));
    }

    @Property(tries = 100, seed = "47")
    void pick_movesStreamsOnlyToOrFromTheVersionThatChanged(
            @ForAll("engines") Map<String, Integer> engines,
            @ForAll @IntRange(min = 0, max = 60) int count,
            @ForAll int salt) {
        String changed = engines.keySet().iterator().next();
        Map<String, Integer> next = new LinkedHashMap<>(engines);
        boolean grows = count > next.put(changed, count);
        for (String id : ids(salt)) {
            Optional<String> before = shares(engines).pick(id);
            Optional<String> after = shares(next).pick(id);
            if (!before.equals(after)) {
                then(grows ? after : before).contains(changed);
            }
        }
    }

    @Property(tries = 100, seed = "47")
    void pick_dependsOnNoOrder(@ForAll("engines") Map<String, Integer> engines, @ForAll String id) {
        Map<String, Integer> reversed = new LinkedHashMap<>();
        List<String> versions = List.copyOf(engines.keySet());
        IntStream.range(0, versions.size())
                .mapToObj(i -> versions.get(versions.size() - 1 - i))
                .forEach(v -> reversed.put(v, engines.get(v)));
        then(shares(reversed).pick(id)).isEqualTo(shares(engines).pick(id));
    }

    /** Guards against nodes of two builds or JVMs that choose differently. */
    @Test
    void pick_isTheSameInEveryProcess() {
        VersionShares shares = shares(Map.of("v1", 2, "v1.1", 3, "v2", 1));
        then(IntStream.range(0, 12).mapToObj(i -> shares.pick("stream-" + i).orElseThrow()))
                .containsExactly(
                        "v1.1", "v1.1", "v2", "v2", "v2", "v1.1", "v1.1", "v1.1", "v1", "v1",
                        "v1.1", "v1");
    }

    @Test
    void pick_withoutEnginesIsEmpty() {
        then(shares(Map.of("v1", 0)).pick("a")).isEmpty();
        then(VersionShares.NONE.pick("a")).isEmpty();
    }

    @Test
    void count_countsReadyEnginesOfTheServiceAndModel() {
        List<Engine> engines =
                List.of(
                        engine("e1", "s", "v1", false, "m"),
                        engine("e2", "s", "v2", false, "m", "n"),
                        engine("e3", "s", "v2", true, "m"),
                        engine("e4", "t", "v2", false, "m"));
        then(VersionShares.count(engines, new ServiceModel("s", "m")))
                .isEqualTo(shares(Map.of("v1", 1, "v2", 1)));
        then(VersionShares.count(engines, new ServiceModel("s", "n")))
                .isEqualTo(shares(Map.of("v2", 1)));
        then(VersionShares.count(engines, new ServiceModel("t", "")))
                .isEqualTo(shares(Map.of("v2", 1)));
        then(VersionShares.count(engines, new ServiceModel("t", "n")).isEmpty()).isTrue();
    }

    private static Engine engine(
            String id, String service, String version, boolean draining, String... models) {
        return new Engine(
                id,
                1,
                service,
                version,
                "10.0.0.1",
                80,
                "d",
                4,
                draining,
                0,
                Set.of(models),
                Map.of());
    }
}
