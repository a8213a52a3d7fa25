package org.fescuehollow.catalog;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LeaveReportsTest {
    private static final Duration READ_TIME = Duration.ofSeconds(4);
    private static final Engine ENGINE =
            new Engine("e1", 1, "s", "v1", "10.0.0.1", 80, "d", 4, false, 0, Set.of(), Map.of());

    private final LeaveReports mReports = new LeaveReports();

    @Test
    void removeOlderThan_returnsAnUnconfirmedEngineOnce() {
        mReports.add(ENGINE, 0);
        then(mReports.removeOlderThan(READ_TIME, READ_TIME.toNanos() - 1)).isEmpty();
        then(mReports.removeOlderThan(READ_TIME, READ_TIME.toNanos())).containsExactly(ENGINE);
        then(mReports.removeOlderThan(READ_TIME, READ_TIME.toNanos())).isEmpty();
    }

    @Test
    void removeOlderThan_ignoresAnEngineThatWasRead() {
        mReports.add(ENGINE, 0);
        mReports.onRead("e1");
        then(mReports.removeOlderThan(READ_TIME, READ_TIME.toNanos())).isEmpty();
    }

    @Test
    void add_keepsTheTimeOfTheFirstReport() {
        mReports.add(ENGINE, 0);
        mReports.add(ENGINE.asDraining(), READ_TIME.toNanos() - 1);
        then(mReports.removeOlderThan(READ_TIME, READ_TIME.toNanos())).containsExactly(ENGINE);
    }
}
