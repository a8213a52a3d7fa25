package org.fescuehollow.suspects;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private static final long CRASHING = 1;
    private final CrashSuspects mSuspects = new CrashSuspects();
    private long mNow;

    @Test
    void recordCrash_refusesOnlyTheRequestPresentInThreeCrashes() {
        // GIVEN
        mSuspects.recordCrash(0, List.of(CRASHING, 2L, 3L, 4L));
        // WHEN
        mSuspects.recordCrash(1, List.of(CRASHING, 10L, 11L));
        mSuspects.recordCrash(2, List.of(CRASHING, 12L, 13L));
        // THEN
        then(mSuspects.isRefused(3, CRASHING)).isTrue();
        then(Stream.of(2L, 3L, 4L, 10L, 11L, 12L, 13L))
                .noneMatch(d -> mSuspects.isRefused(3, d) || mSuspects.crashCount(3, d) > 1);
    }

    @Test
    void recordCrash_isForgottenAfterTheRetention() {
        // GIVEN
        IntStream.range(0, 3).forEach(i -> mSuspects.recordCrash(mNow++, List.of(CRASHING)));
        // WHEN
        long later = mNow + CrashSuspects.RETENTION.toNanos();
        // THEN
        then(mSuspects.isRefused(later, CRASHING)).isFalse();
    }

    @Test
    void merge_keepsTheHigherCount() {
        // WHEN
        mSuspects.merge(new CrashSuspects.Finding(CRASHING, 2, 0));
        mSuspects.merge(new CrashSuspects.Finding(CRASHING, 1, 5));
        // THEN
        then(mSuspects.crashCount(6, CRASHING)).isEqualTo(2);
    }
}
