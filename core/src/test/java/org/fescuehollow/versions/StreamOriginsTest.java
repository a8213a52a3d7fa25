package org.fescuehollow.versions;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final StreamOrigins mOrigins = new StreamOrigins(2);

    @Test
    void find_returnsTheVersionUntilItExpires() {
        mOrigins.add("a", "v1", 0);
        mOrigins.add("a", "v1", 30 * SECOND_NANOS);
        then(mOrigins.find("a", 90 * SECOND_NANOS)).contains("v1");
        then(mOrigins.find("a", 90 * SECOND_NANOS + 1)).isEmpty();
        then(mOrigins.find("b", 0)).isEmpty();
    }

    @Test
    void find_namesNoneOfTwoVersions() {
        mOrigins.add("a", "v1", 0);
        mOrigins.add("a", "v2", SECOND_NANOS);
        then(mOrigins.find("a", SECOND_NANOS)).isEmpty();
        then(mOrigins.isDisputed("a", SECOND_NANOS)).isTrue();
        mOrigins.add("a", "v1", 2 * SECOND_NANOS);
        then(mOrigins.find("a", 2 * SECOND_NANOS)).isEmpty();
        then(mOrigins.isDisputed("a", 62 * SECOND_NANOS)).isTrue();
        then(mOrigins.isDisputed("a", 62 * SECOND_NANOS + 1)).isFalse();
        then(mOrigins.isDisputed("b", 0)).isFalse();
    }

    @Test
    void add_keepsTheNewestTimeOfARecord() {
        mOrigins.add("a", "v1", 30 * SECOND_NANOS);
        mOrigins.add("a", "v1", 10 * SECOND_NANOS);
        then(mOrigins.find("a", 90 * SECOND_NANOS)).contains("v1");
    }

    @Test
    void add_dropsTheStreamRecordedLongestAgo() {
        mOrigins.add("a", "v1", 0);
        mOrigins.add("b", "v1", 1);
        mOrigins.add("a", "v1", 2);
        mOrigins.add("c", "v1", 3);
        then(mOrigins.find("a", 3)).contains("v1");
        then(mOrigins.find("b", 3)).isEmpty();
    }

    @Test
    void expire_dropsOldRecords() {
        mOrigins.add("a", "v1", 0);
        mOrigins.add("b", "v1", SECOND_NANOS);
        mOrigins.expire(61 * SECOND_NANOS);
        then(mOrigins.size()).isEqualTo(1);
    }
}
