package org.fescuehollow.catalog;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Replays, in virtual time, store outages that begin at different points of a long-poll call. Calls
 * that are open when the outage begins, and those sent until it ends, never get a response. Guards
 * against a watch that keeps waiting for such a call, so that changes are applied too late after
 * the outage.
 */
class StoreOutageReplayTest {
    /** Longest time from the acknowledgement of a change to its application. */
    private static final int MAX_APPLY_MILLIS = 2_000;

    /** Time after an outage from which changes must be applied in time again. */
    private static final int SETTLING_MILLIS = 3_000;

    private static final int ANSWER_MILLIS = 4;
    private static final int OUTAGE_START_MILLIS = 20_000;
    private static final int MAX_OUTAGE_MILLIS = 12_000;
    private static final int STEP_MILLIS = 70;

    /** How calls fail during an outage. */
    private enum Outage {
        SILENT {
            @Override
            int failureDelayMillis(WatchScheduler.Call call) {
                return (int) call.timeoutMillis();
            }
        },
        BUSY {
            @Override
            int failureDelayMillis(WatchScheduler.Call call) {
                return ANSWER_MILLIS;
            }
        };

        abstract int failureDelayMillis(WatchScheduler.Call call);
    }

    private record Event(long atMillis, long callId, boolean answer, boolean change) {}

    /** Returns when the watch sees the change, in milliseconds. */
    private static long changeSeenMillis(
            Outage outage, int phaseMillis, int recoveredMillis, int changedMillis) {
        WatchScheduler scheduler =
                new WatchScheduler(Duration.ofMillis(SETTLING_MILLIS), nanos(phaseMillis));
        List<Event> events = new ArrayList<>();
        long t = phaseMillis;
        while (true) {
            Event next = events.stream().min(Comparator.comparing(Event::atMillis)).orElse(null);
            long due = Duration.ofNanos(scheduler.dueNanos()).toMillis();
            if (next != null && next.atMillis() <= due) {
                t = next.atMillis();
                events.remove(next);
                if (!next.answer()) {
                    scheduler.onFailure(next.callId(), nanos(t));
                } else if (scheduler.onAnswer(next.callId(), Duration.ZERO, nanos(t))
                        && next.change()) {
                    return t;
                }
            } else {
                t = Math.max(t, due);
                events.add(
                        outcome(
                                outage,
                                scheduler.startCall(nanos(t)),
                                t,
                                recoveredMillis,
                                changedMillis));
            }
        }
    }

    private static Event outcome(
            Outage outage,
            WatchScheduler.Call call,
            long t,
            int recoveredMillis,
            int changedMillis) {
        long waited = t + call.waitMillis();
        boolean hasChange = changedMillis <= waited;
        long end = (hasChange ? Math.max(t, changedMillis) : waited) + ANSWER_MILLIS;
        boolean unavailable = t < recoveredMillis && end >= OUTAGE_START_MILLIS;
        if (!unavailable) {
            return new Event(end, call.id(), true, hasChange);
        }
        long from = outage == Outage.SILENT ? t : Math.max(t, OUTAGE_START_MILLIS);
        return new Event(from + outage.failureDelayMillis(call), call.id(), false, false);
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private static IntStream outageLengths() {
        return IntStream.iterate(0, o -> o <= MAX_OUTAGE_MILLIS, o -> o + STEP_MILLIS);
    }

    private static IntStream phases() {
        return IntStream.iterate(0, p -> p < 2_000, p -> p + STEP_MILLIS);
    }

    private static void assertChangeAppliedInTime(
            Outage outage, int lengthMillis, int phaseMillis) {
        int recoveredMillis = OUTAGE_START_MILLIS + lengthMillis;
        for (int changedMillis :
                new int[] {
                    OUTAGE_START_MILLIS,
                    recoveredMillis,
                    recoveredMillis + 900,
                    recoveredMillis + 2_500
                }) {
            long latestMillis =
                    Math.max(recoveredMillis + SETTLING_MILLIS, changedMillis + MAX_APPLY_MILLIS);
            then(changeSeenMillis(outage, phaseMillis, recoveredMillis, changedMillis))
                    .as(
                            "%s for %d ms, phase %d, changed %d",
                            outage, lengthMillis, phaseMillis, changedMillis)
                    .isLessThan(latestMillis);
        }
    }

    @Test
    void change_isAppliedInTimeAfterSilentOutage() {
        outageLengths()
                .forEach(
                        o -> phases().forEach(p -> assertChangeAppliedInTime(Outage.SILENT, o, p)));
    }

    @Test
    void change_isAppliedInTimeAfterCallsFailed() {
        outageLengths()
                .forEach(o -> phases().forEach(p -> assertChangeAppliedInTime(Outage.BUSY, o, p)));
    }
}
