package org.fescuehollow.drain;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.fescuehollow.catalog.AdapterKey;
import org.fescuehollow.catalog.Route;
import org.fescuehollow.catalog.RouteKind;
import org.fescuehollow.dispatch.DispatchRequest;
import org.junit.jupiter.api.Test;

class DrainScheduleTest {
    private static final long STOP = millis(1_000_000);
    private static final long LONG_DEADLINE_MILLIS = 60_000;

    /** Of all requests that are sent in the grace period, not more than these are cut off. */
    private static final double MAX_CUT_SHARE = 0.01;

    private static final int REPLAYED_REQUESTS = 20_000;

    private final DrainSchedule mLong = new DrainSchedule(STOP, millis(8_000));
    private final DrainSchedule mShort = new DrainSchedule(STOP, millis(1_000));

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private static Route route(RouteKind kind) {
        List<Route.Target> targets = List.of(new Route.Target("s", 1));
        return new Route("r", "h", "/", kind, 60_000, 200, 300, 0, targets, 2, false);
    }

    private static DispatchRequest request(long arrivalMillis, long objective, long deadline) {
        long arrival = STOP + millis(arrivalMillis);
        return new DispatchRequest(
                "id",
                "s",
                AdapterKey.NONE,
                0,
                0,
                0,
                List.of(),
                0,
                arrival,
                arrival + millis(objective),
                arrival + millis(deadline),
                false,
                Optional.empty());
    }

    private static boolean maySend(
            DrainSchedule schedule, RouteKind kind, long arrivalMillis, long objective) {
        DispatchRequest request = request(arrivalMillis, objective, LONG_DEADLINE_MILLIS);
        return schedule.maySend(request, route(kind), OptionalLong.empty(), request.arrivalNanos());
    }

    @Test
    void phases_followOneAnotherWithinTheGracePeriod() {
        for (long grace : new long[] {50, 500, 1_000, 2_000, 8_000, 60_000}) {
            DrainSchedule schedule = new DrainSchedule(STOP, millis(grace));
            then(schedule.idleCloseNanos()).isBetween(STOP, schedule.finalAnswersNanos());
            then(schedule.finalAnswersNanos()).isLessThan(schedule.exitNanos());
            then(schedule.exitNanos()).isLessThan(schedule.forcedExitNanos());
            then(schedule.forcedExitNanos()).isLessThan(STOP + millis(grace));
        }
    }

    @Test
    void finalAnswers_areInTheLastSixthOfTheGracePeriod() {
        for (long grace : new long[] {500, 1_000, 2_000, 8_000, 60_000}) {
            then(new DrainSchedule(STOP, millis(grace)).finalAnswersNanos())
                    .isGreaterThan(STOP + millis(grace) * 5 / 6);
        }
    }

    @Test
    void maySend_refusesWhatIsExpectedToEndTooLate() {
        then(maySend(mLong, RouteKind.IDEMPOTENT, 7_000, 200)).isTrue();
        then(maySend(mLong, RouteKind.IDEMPOTENT, 7_200, 200)).isFalse();
        then(maySend(mLong, RouteKind.AT_MOST_ONCE, 6_800, 200)).isTrue();
        then(maySend(mLong, RouteKind.AT_MOST_ONCE, 7_000, 200)).isFalse();
        then(maySend(mLong, RouteKind.STREAM, 2_500, 1_000)).isTrue();
        then(maySend(mLong, RouteKind.STREAM, 2_500, 2_000)).isFalse();
        then(maySend(mShort, RouteKind.IDEMPOTENT, 500, 200)).isTrue();
        then(maySend(mShort, RouteKind.IDEMPOTENT, 0, 1_000)).isFalse();
        then(maySend(mShort, RouteKind.STREAM, 0, 1_000)).isFalse();
    }

    @Test
    void maySend_sendsWhatItsDeadlineEndsInTime() {
        DispatchRequest request = request(4_000, 2_000, 3_000);
        for (RouteKind kind : RouteKind.values()) {
            then(mLong.maySend(
                            request,
                            route(kind),
                            OptionalLong.of(millis(20_000)),
                            STOP + millis(6_000)))
                    .isTrue();
        }
    }

    @Test
    void maySend_refusesAStreamThatArrivesAfterTheNodeWasTakenOut() {
        then(maySend(mLong, RouteKind.STREAM, 3_000, 100)).isFalse();
        // One that waited since before, or that goes on, is sent while there is time.
        DispatchRequest earlier = request(2_000, 1_000, LONG_DEADLINE_MILLIS);
        Route route = route(RouteKind.STREAM);
        long now = STOP + millis(4_000);
        then(mLong.maySend(earlier, route, OptionalLong.empty(), now)).isTrue();
        then(mLong.maySend(earlier.resumedAt(now), route, OptionalLong.empty(), now)).isTrue();
    }

    @Test
    void mayGoOn_lastsUntilTheFinalAnswers() {
        DispatchRequest request = request(0, 1_000, LONG_DEADLINE_MILLIS);
        for (long millis = 0; millis < 8_000; millis += 10) {
            long now = STOP + millis(millis);
            boolean mayGoOn = mLong.mayGoOn(now);
            then(mayGoOn).isEqualTo(now < mLong.finalAnswersNanos());
            // Whatever may be sent anew may go on.
            for (RouteKind kind : RouteKind.values()) {
                then(mLong.maySend(request, route(kind), OptionalLong.empty(), now) && !mayGoOn)
                        .isFalse();
            }
        }
    }

    @Test
    void maySend_trustsKnownTimesMoreThanTheObjective() {
        DispatchRequest request = request(0, 15_000, LONG_DEADLINE_MILLIS);
        Route route = route(RouteKind.AT_MOST_ONCE);
        long now = STOP + millis(5_000);
        then(mLong.maySend(request, route, OptionalLong.empty(), now)).isFalse();
        then(mLong.maySend(request, route, OptionalLong.of(millis(150)), now)).isTrue();
        then(mLong.maySend(request, route, OptionalLong.of(millis(1_500)), now)).isFalse();
    }

    @Test
    void replay_cutsFewOfTheRequestsThatAreSentAndServesMostOfTheGrace() {
        for (RouteKind kind : RouteKind.values()) {
            // GIVEN requests that come evenly until the process is killed
            Random random = new Random(39);
            ResponseTimes times = new ResponseTimes();
            List<long[]> running = new ArrayList<>();
            int sent = 0;
            int cut = 0;
            for (int i = 0; i < REPLAYED_REQUESTS; i++) {
                long arrivalMillis = -2_000 + 10_000L * i / REPLAYED_REQUESTS;
                DispatchRequest request = request(arrivalMillis, 200, LONG_DEADLINE_MILLIS);
                long now = request.arrivalNanos();
                long nanos = millis(60 + (long) (40 * -Math.log(1 - random.nextDouble())));
                running.removeIf(
                        r -> {
                            if (r[0] <= now) {
                                times.record("r", r[1]);
                            }
                            return r[0] <= now;
                        });
                // WHEN they are sent as the schedule allows
                OptionalLong usual = times.usualNanos("r");
                if (now < STOP || mLong.maySend(request, route(kind), usual, now)) {
                    running.add(new long[] {now + nanos, nanos});
                    sent++;
                    cut += now + nanos > mLong.finalAnswersNanos() ? 1 : 0;
                }
            }
            // THEN hardly any is still running at the end
            then(cut / (double) sent).as(kind.name()).isLessThan(MAX_CUT_SHARE);
            // AND streams are served until the node is taken out, all others almost to the end
            double servedMillis = 10_000.0 * sent / REPLAYED_REQUESTS - 2_000;
            then(servedMillis).isGreaterThan(kind == RouteKind.STREAM ? 2_500 : 6_500);
        }
    }
}
