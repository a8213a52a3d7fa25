package org.fescuehollow.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PeerTableTest {
    private static final Peer SELF = new Peer("n1", "north", "10.0.0.1");
    private static final Peer OTHER = new Peer("n2", "north", "10.0.0.2");
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final PeerTable mTable = new PeerTable(SELF);

    @Test
    void heard_ignoresOlderMessages() {
        then(mTable.heard(OTHER, 5, 2, false, Optional.empty(), 0)).isTrue();
        then(mTable.heard(OTHER, 5, 1, false, Optional.empty(), 0)).isFalse();
        then(mTable.heard(OTHER, 4, 9, false, Optional.empty(), 0)).isFalse();
        then(mTable.heard(OTHER, 6, 1, false, Optional.empty(), 0)).isTrue();
    }

    @Test
    void seenByAll_isTheLeastOfWhatNodesSay() {
        then(mTable.seenByAll(SECOND)).isEqualTo(SECOND);
        mTable.heard(OTHER, 1, 1, false, Optional.of(200L), SECOND);
        then(mTable.seenByAll(SECOND)).isEqualTo(SECOND - 200_000_000);
        mTable.mentioned(new Peer("n3", "south", "10.0.0.3"), SECOND);
        then(mTable.seenByAll(SECOND)).isLessThan(0);
    }

    @Test
    void seenByAll_leavesOutNodesThatSaidGoodbye() {
        mTable.heard(OTHER, 1, 1, true, Optional.empty(), SECOND);
        then(mTable.seenByAll(SECOND)).isEqualTo(SECOND);
    }

    @Test
    void rank_putsNodesOfTheEnginesDomainFirst() {
        mTable.heard(OTHER, 1, 1, false, Optional.empty(), 0);
        mTable.heard(new Peer("n3", "south", "10.0.0.3"), 1, 1, false, Optional.empty(), 0);
        then(mTable.rank("e", "south")).isPositive();
        then(mTable.rank("e", "north")).isLessThanOrEqualTo(1);
    }

    @Test
    void forget_dropsNodesAfterALongSilenceOnly() {
        mTable.heard(OTHER, 1, 1, false, Optional.empty(), 0);
        mTable.forget(30 * SECOND);
        then(mTable.size()).isEqualTo(2);
        then(mTable.isLive("n2", 30 * SECOND)).isFalse();
        mTable.forget(61 * SECOND);
        then(mTable.size()).isEqualTo(1);
    }
}
