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
    private static final int CONFIG_MILLIS = 2_000;

    /** A node is held to it this long after the store's return. */
    private static final int STABLE_MILLIS = 3_000;

    private static final int ANSWER_MILLIS = 4;
    private static final int SILENT_FROM = 20_000;
    private static final int LONGEST_OUTAGE = 12_000;
    private static final int STEP = 70;

    /** How calls fail while the store is away. */
    private enum Outage {
        SILENT {
            @Override
            int failureAfter(WatchPacing.Call call) {
                return (int) call.limitMillis();
            }
        },
        BUSY {
            @Override
            int failureAfter(WatchPacing.Call call) {
                return ANSWER_MILLIS;
            }
        };

        abstract int failureAfter(WatchPacing.Call call);
    }

    private record Event(long at, long call, boolean answer, boolean news) {}

    /** Returns when the change is known, in milliseconds. */
    private static long knownAt(Outage outage, int phase, int returned, int changed) {
        WatchPacing pacing = new WatchPacing(Duration.ofMillis(STABLE_MILLIS), nanos(phase));
        List<Event> events = new ArrayList<>();
        long t = phase;
        while (true) {
            Event next = events.stream().min(Comparator.comparing(Event::at)).orElse(null);
            long due = Duration.ofNanos(pacing.dueNanos()).toMillis();
            if (next != null && next.at() <= due) {
                t = next.at();
                events.remove(next);
                if (!next.answer()) {
                    pacing.failed(next.call(), nanos(t));
                } else if (pacing.answered(next.call(), Duration.ZERO, nanos(t)) && next.news()) {
                    return t;
                }
            } else {
                t = Math.max(t, due);
                events.add(outcome(outage, pacing.send(nanos(t)), t, returned, changed));
            }
        }
    }

    private static Event outcome(
            Outage outage, WatchPacing.Call call, long t, int returned, int changed) {
        long waited = t + call.waitMillis();
        boolean news = changed <= waited;
        long end = (news ? Math.max(t, changed) : waited) + ANSWER_MILLIS;
        boolean away = t < returned && end >= SILENT_FROM;
        if (!away) {
            return new Event(end, call.number(), true, news);
        }
        long from = outage == Outage.SILENT ? t : Math.max(t, SILENT_FROM);
        return new Event(from + outage.failureAfter(call), call.number(), false, false);
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private static IntStream outages() {
        return IntStream.iterate(0, o -> o <= LONGEST_OUTAGE, o -> o + STEP);
    }

    private static IntStream phases() {
        return IntStream.iterate(0, p -> p < 2_000, p -> p + STEP);
    }

    private static void changeIsInForceInTime(Outage outage, int length, int phase) {
        int returned = SILENT_FROM + length;
        for (int changed : new int[] {SILENT_FROM, returned, returned + 900, returned + 2_500}) {
            long bound = Math.max(returned + STABLE_MILLIS, changed + CONFIG_MILLIS);
            then(knownAt(outage, phase, returned, changed))
                    .as("%s for %d ms, phase %d, changed %d", outage, length, phase, changed)
                    .isLessThan(bound);
        }
    }

    @Test
    void change_isInForceInTimeAfterTheStoreFellSilent() {
        outages().forEach(o -> phases().forEach(p -> changeIsInForceInTime(Outage.SILENT, o, p)));
    }

    @Test
    void change_isInForceInTimeAfterTheStoreRefusedCalls() {
        outages().forEach(o -> phases().forEach(p -> changeIsInForceInTime(Outage.BUSY, o, p)));
    }
}
