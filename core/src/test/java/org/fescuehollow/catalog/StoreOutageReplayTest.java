package org.fescuehollow.catalog;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Replays, in virtual time, a store that falls silent at every moment of a watch: calls that were
 * open then, and those sent until it returns, are never answered.
 */
class StoreOutageReplayTest {
    /** A change is in force this long after its acknowledgement. */
    private static final int MAX_APPLY_MILLIS = 2_000;

    /** A node is held to it this long after the store's return. */
    private static final int SETTLING_MILLIS = 3_000;

    private static final int ANSWER_MILLIS = 4;
    private static final int OUTAGE_START_MILLIS = 20_000;
    private static final int MAX_OUTAGE_MILLIS = 12_000;
    private static final int STEP_MILLIS = 70;

    /** How calls fail while the store is away. */
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

    /** Returns when the change is known, in milliseconds. */
    private static long changeSeenMillis(Outage outage, int phase, int returned, int changed) {
        WatchScheduler pacing =
                new WatchScheduler(Duration.ofMillis(SETTLING_MILLIS), nanos(phase));
        List<Event> events = new ArrayList<>();
        long t = phase;
        while (true) {
            Event next = events.stream().min(Comparator.comparing(Event::atMillis)).orElse(null);
            long due = Duration.ofNanos(pacing.dueNanos()).toMillis();
            if (next != null && next.atMillis() <= due) {
                t = next.atMillis();
                events.remove(next);
                if (!next.answer()) {
                    pacing.onFailure(next.callId(), nanos(t));
                } else if (pacing.onAnswer(next.callId(), Duration.ZERO, nanos(t))
                        && next.change()) {
                    return t;
                }
            } else {
                t = Math.max(t, due);
                events.add(outcome(outage, pacing.startCall(nanos(t)), t, returned, changed));
            }
        }
    }

    private static Event outcome(
            Outage outage, WatchScheduler.Call call, long t, int returned, int changed) {
        long waited = t + call.waitMillis();
        boolean news = changed <= waited;
        long end = (news ? Math.max(t, changed) : waited) + ANSWER_MILLIS;
        boolean away = t < returned && end >= OUTAGE_START_MILLIS;
        if (!away) {
            return new Event(end, call.id(), true, news);
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

    private static void assertChangeAppliedInTime(Outage outage, int length, int phase) {
        int returned = OUTAGE_START_MILLIS + length;
        for (int changed :
                new int[] {OUTAGE_START_MILLIS, returned, returned + 900, returned + 2_500}) {
            long bound = Math.max(returned + SETTLING_MILLIS, changed + MAX_APPLY_MILLIS);
            then(changeSeenMillis(outage, phase, returned, changed))
                    .as("%s for %d ms, phase %d, changed %d", outage, length, phase, changed)
                    .isLessThan(bound);
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
