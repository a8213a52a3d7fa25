package org.fescuehollow.suspects;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private static final long GUILTY = 1;
    private final CrashSuspects mSuspects = new CrashSuspects();
    private long mNow;

    @Test
    void guilty_isFoundAfterThreeCrashesAndTheInnocentAreNot() {
        // GIVEN
        mSuspects.crashed(0, List.of(GUILTY, 2L, 3L, 4L));
        // WHEN
        mSuspects.crashed(1, List.of(GUILTY, 10L, 11L));
        mSuspects.crashed(2, List.of(GUILTY, 12L, 13L));
        // THEN
        then(mSuspects.isGuilty(3, GUILTY)).isTrue();
        then(Stream.of(2L, 3L, 4L, 10L, 11L, 12L, 13L))
                .noneMatch(d -> mSuspects.isGuilty(3, d) || mSuspects.count(3, d) > 1);
    }

    @Test
    void guilty_isForgottenAfterATime() {
        // GIVEN
        IntStream.range(0, 3).forEach(i -> mSuspects.crashed(mNow++, List.of(GUILTY)));
        // WHEN
        long later = mNow + CrashSuspects.MEMORY.toNanos();
        // THEN
        then(mSuspects.isGuilty(later, GUILTY)).isFalse();
    }

    @Test
    void merge_takesTheHigherCount() {
        // WHEN
        mSuspects.merge(new CrashSuspects.Finding(GUILTY, 2, 0));
        mSuspects.merge(new CrashSuspects.Finding(GUILTY, 1, 5));
        // THEN
        then(mSuspects.count(6, GUILTY)).isEqualTo(2);
    }
}
