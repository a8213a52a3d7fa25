package org.fescuehollow.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerTableTest {
    private static final Peer SELF = new Peer("n1", "north", "10.0.0.1");
    private static final Peer OTHER = new Peer("n2", "north", "10.0.0.2");
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final PeerTable mTable = new PeerTable(SELF, 0);

    @Test
    void onMessage_ignoresOlderMessages() {
        then(mTable.onMessage(OTHER, 5, 2, false, 0)).isTrue();
        then(mTable.onMessage(OTHER, 5, 1, false, 0)).isFalse();
        then(mTable.onMessage(OTHER, 4, 9, false, 0)).isFalse();
        then(mTable.onMessage(OTHER, 6, 1, false, 0)).isTrue();
    }

    @Test
    void claimants_includeNodesThatWereOnlyMentioned() {
        Peer mentioned = new Peer("n3", "south", "10.0.0.3");
        mTable.onMessage(OTHER, 1, 1, false, SECOND_NANOS);
        mTable.onPeerMentioned(mentioned, SECOND_NANOS);
        then(mTable.claimants("e", "north")).contains(OTHER, mentioned);
    }

    @Test
    void claimants_preferTheFailureDomainOfTheEngine() {
        // GIVEN three nodes in the engine's failure domain, and one in another that is cut off
        Peer distant = new Peer("n4", "south", "10.0.0.4");
        mTable.onMessage(OTHER, 1, 1, false, SECOND_NANOS);
        mTable.onMessage(new Peer("n3", "north", "10.0.0.3"), 1, 1, false, SECOND_NANOS);
        mTable.onPeerMentioned(distant, SECOND_NANOS);
        // THEN only the three nodes count
        then(mTable.claimants("e", "north")).hasSize(3).doesNotContain(distant);
        then(mTable.mayClaim("e", "north")).isTrue();
        then(mTable.mayClaim("e", "south")).isEqualTo(mTable.rank("e", "south") < 3);
    }

    @Test
    void claimants_ignoreLeavingNodes() {
        mTable.onMessage(OTHER, 1, 1, true, SECOND_NANOS);
        then(mTable.claimants("e", "north")).containsExactly(SELF);
    }

    @Test
    void hasFullView_isFalseAfterAStartInAPartition() {
        List<String> seeds = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
        mTable.onMessage(OTHER, 1, 1, false, 0);
        then(mTable.hasFullView(seeds, SECOND_NANOS)).isFalse();
        mTable.onPeerMentioned(new Peer("n3", "south", "10.0.0.3"), 0);
        then(mTable.hasFullView(seeds, SECOND_NANOS)).isTrue();
    }

    @Test
    void hasFullView_onceItKnowsAsManyAsANodeWithAFullView() {
        List<String> seeds = List.of("10.0.0.9");
        mTable.onMessage(OTHER, 1, 1, false, 0);
        mTable.onClusterSize(3);
        then(mTable.hasFullView(seeds, SECOND_NANOS)).isFalse();
        mTable.onPeerMentioned(new Peer("n3", "south", "10.0.0.3"), 0);
        then(mTable.hasFullView(seeds, SECOND_NANOS)).isTrue();
    }

    @Test
    void hasFullView_withoutAPermanentlyLostSeed() {
        List<String> seeds = List.of("10.0.0.2", "10.0.0.3", "10.0.0.4");
        mTable.onMessage(OTHER, 1, 1, false, 0);
        mTable.onPeerMentioned(new Peer("n3", "south", "10.0.0.3"), 0);
        then(mTable.hasFullView(seeds, 29 * SECOND_NANOS)).isFalse();
        then(mTable.hasFullView(seeds, 30 * SECOND_NANOS)).isTrue();
    }

    @Test
    void hasFullView_isTrueForTheOnlySeed() {
        then(mTable.hasFullView(List.of("10.0.0.1"), 0)).isTrue();
        then(new PeerTable(SELF, 0).hasFullView(List.of(), 0)).isTrue();
    }

    @Test
    void rank_putsNodesOfTheEnginesDomainFirst() {
        mTable.onMessage(OTHER, 1, 1, false, 0);
        mTable.onMessage(new Peer("n3", "south", "10.0.0.3"), 1, 1, false, 0);
        then(mTable.rank("e", "south")).isPositive();
        then(mTable.rank("e", "north")).isLessThanOrEqualTo(1);
    }

    @Test
    void removeSilent_removesNodesAfterALongSilenceOnly() {
        mTable.onMessage(OTHER, 1, 1, false, 0);
        mTable.removeSilent(30 * SECOND_NANOS);
        then(mTable.size()).isEqualTo(2);
        then(mTable.isLive("n2", 30 * SECOND_NANOS)).isFalse();
        mTable.removeSilent(61 * SECOND_NANOS);
        then(mTable.size()).isEqualTo(1);
    }

    @Test
    void lastDiscoveryNanos_changesOnlyForNewNodes() {
        mTable.onMessage(OTHER, 1, 1, false, SECOND_NANOS);
        mTable.onMessage(OTHER, 1, 2, false, 2 * SECOND_NANOS);
        then(mTable.lastDiscoveryNanos()).isEqualTo(SECOND_NANOS);
        mTable.onPeerMentioned(new Peer("n3", "south", "10.0.0.3"), 3 * SECOND_NANOS);
        mTable.onPeerMentioned(new Peer("n3", "south", "10.0.0.3"), 4 * SECOND_NANOS);
        then(mTable.lastDiscoveryNanos()).isEqualTo(3 * SECOND_NANOS);
    }
}
