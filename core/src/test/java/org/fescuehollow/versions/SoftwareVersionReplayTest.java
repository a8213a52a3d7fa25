package org.fescuehollow.versions;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays, in virtual time, releases of another software version to fleets whose nodes are killed,
 * or cut off from the store and from each other. Each node reads the store at its own times, and
 * clients resume streams that broke off at nodes other than those that began them. Guards against
 * streams that go on at another version than the one that began them, and against refusing too many
 * so that none does.
 *
 * <p>{@code -Dversions.seeds=50} replays as many seeds for the large fleets as for the small one.
 */
class SoftwareVersionReplayTest {
    /** Shares go back further than the store's history if streams last as long as this. */
    private static final Duration LONG_LIFE = Duration.ofSeconds(15);

    private static final Duration SHORT_LIFE = Duration.ofSeconds(6);

    /** The shares in this class are of all seeds together. */
    private static final double MIN_SHARE = 0.9;

    /** After these, clients lose their streams with all that the nodes know. */
    private static final Set<VersionScenario> ALL_KILLED =
            EnumSet.of(
                    VersionScenario.HALF_AND_KILL_OF_ALL,
                    VersionScenario.ALL_AND_KILL_OF_ALL,
                    VersionScenario.HALF_KILL_OF_ALL_AND_SHORT_CUTS,
                    VersionScenario.HALF_KILL_OF_ALL_AND_LONG_CUTS,
                    VersionScenario.HALF_KILL_OF_ALL_AND_SHORT_ISOLATION,
                    VersionScenario.HALF_KILL_OF_ALL_AND_LONG_ISOLATION);

    private static final Set<VersionScenario> COMPARED =
            EnumSet.of(
                    VersionScenario.RELEASE_OF_HALF,
                    VersionScenario.HALF_AND_KILL_OF_HALF,
                    VersionScenario.HALF_AND_KILL_OF_ALL,
                    VersionScenario.ALL_AND_KILL_OF_ALL,
                    VersionScenario.HALF_AND_LONG_CUTS);

    private static VersionTally replay(
            VersionFleet fleet, Duration life, VersionScenario scenario, VersionPolicy policy) {
        VersionTally tally = new VersionTally();
        LongStream.rangeClosed(1, fleet.seeds())
                .mapToObj(s -> new VersionSimulation(fleet, life, scenario, policy, s).run())
                .forEach(tally::add);
        System.out.printf(
                "%-36s %-6s %2d s %-21s %s%n", scenario, fleet, life.toSeconds(), policy, tally);
        return tally;
    }

    private static void thenStreamsKeepTheirVersion(
            VersionFleet fleet, Duration life, VersionScenario scenario) {
        VersionTally tally = replay(fleet, life, scenario, VersionPolicy.FULL);
        then(tally.wrong()).as("%s %s %s", fleet, life, scenario).isZero();
        then(tally.begunShare()).isGreaterThan(0.99);
        if (life.equals(SHORT_LIFE) || !ALL_KILLED.contains(scenario)) {
            then(tally.runsBelowHalf()).as("%s %s %s", fleet, life, scenario).isZero();
        }
        if (!ALL_KILLED.contains(scenario)) {
            then(tally.goneOnShare()).isGreaterThan(MIN_SHARE);
            then(tally.goneOnAfterKillShare()).isGreaterThan(MIN_SHARE);
        }
    }

    @ParameterizedTest
    @EnumSource
    void stream_goesOnOnlyAtItsVersionInASmallFleet(VersionScenario scenario) {
        thenStreamsKeepTheirVersion(VersionFleet.SMALL, SHORT_LIFE, scenario);
    }

    @ParameterizedTest
    @EnumSource
    void stream_goesOnOnlyAtItsVersionInAMediumFleet(VersionScenario scenario) {
        thenStreamsKeepTheirVersion(VersionFleet.MEDIUM, SHORT_LIFE, scenario);
    }

    @ParameterizedTest
    @EnumSource
    void stream_goesOnOnlyAtItsVersionInALargeFleet(VersionScenario scenario) {
        thenStreamsKeepTheirVersion(VersionFleet.LARGE, SHORT_LIFE, scenario);
    }

    @ParameterizedTest
    @EnumSource
    void stream_thatLastsLongGoesOnOnlyAtItsVersion(VersionScenario scenario) {
        thenStreamsKeepTheirVersion(VersionFleet.SMALL, LONG_LIFE, scenario);
    }

    /** Guards against one way that makes up for the errors of another. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ID_ALONE")
    void stream_goesOnOnlyAtItsVersionByEachWayAlone(VersionPolicy policy) {
        for (VersionScenario scenario : COMPARED) {
            then(replay(VersionFleet.SMALL, SHORT_LIFE, scenario, policy).wrong()).isZero();
        }
    }

    /** Shows that the scenarios would tell a scheme that isn't strict. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "RELEASE_OF_HALF",
                "HALF_AND_KILL_OF_HALF",
                "HALF_AND_KILL_OF_ALL",
                "ALL_AND_KILL_OF_ALL",
                "HALF_AND_LONG_CUTS"
            })
    void stream_wouldChangeItsVersionWithTheSharesOfNow(VersionScenario scenario) {
        VersionTally tally =
                replay(VersionFleet.SMALL, SHORT_LIFE, scenario, VersionPolicy.ID_ALONE);
        then(tally.wrong()).isPositive();
    }
}
