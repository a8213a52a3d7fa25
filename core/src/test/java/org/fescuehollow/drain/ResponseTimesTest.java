package org.fescuehollow.drain;

import static org.assertj.core.api.BDDAssertions.then;

import org.junit.jupiter.api.Test;

class ResponseTimesTest {
    private final ResponseTimes mTimes = new ResponseTimes();

    private void record(int count, long nanos) {
        for (int i = 0; i < count; i++) {
            mTimes.record("r", nanos);
        }
    }

    @Test
    void usualNanos_isUnknownAfterFewResponses() {
        then(mTimes.usualNanos("r")).isEmpty();
        record(7, 100);
        then(mTimes.usualNanos("r")).isEmpty();
        record(1, 100);
        then(mTimes.usualNanos("r")).isPresent();
        then(mTimes.usualNanos("s")).isEmpty();
    }

    @Test
    void usualNanos_isAboveMostOfTheResponses() {
        for (int i = 0; i < 50; i++) {
            record(1, 80);
            record(1, 120);
        }
        then(mTimes.usualNanos("r").orElseThrow()).isBetween(120L, 160L);
    }

    @Test
    void usualNanos_followsAChange() {
        record(50, 100);
        record(50, 1_000);
        then(mTimes.usualNanos("r").orElseThrow()).isBetween(990L, 1_100L);
    }
}
