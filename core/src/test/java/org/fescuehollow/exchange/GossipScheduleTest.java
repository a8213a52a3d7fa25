package org.fescuehollow.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class GossipScheduleTest {
    private final GossipSchedule mSchedule = new GossipSchedule("n0");

    private static List<Peer> peers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Peer("n" + i, "north", "10.0.0." + i))
                .toList();
    }

    @Test
    void recipients_areAllPeersInASmallFleet() {
        then(mSchedule.recipients(peers(8), Set.of())).hasSize(8);
        then(mSchedule.roundDuration(8)).isEqualTo(GossipSchedule.PERIOD);
    }

    @Test
    void recipients_areAsManyInAnyLargeFleet() {
        Set<String> close = Set.of("n1", "n2");
        GossipSchedule large = new GossipSchedule("n0");
        // WHEN all peers of the larger fleet have been greeted twice
        long periods = 2 * large.greetingDuration(409).dividedBy(GossipSchedule.PERIOD);
        for (int i = 0; i < periods; i++) {
            then(mSchedule.recipients(peers(74), close)).hasSizeLessThan(40);
            then(large.recipients(peers(409), close)).hasSizeLessThan(40);
        }
        // THEN a period costs as much in both
        int at75 = mSchedule.recipients(peers(74), close).size();
        int at410 = large.recipients(peers(409), close).size();
        then(at75).isEqualTo(at410).isLessThan(16);
    }

    @Test
    void recipients_includeANewOrRestartedPeerInTheNextPeriods() {
        for (int i = 0; i < 20; i++) {
            mSchedule.recipients(peers(74), Set.of());
        }
        Peer newPeer = peers(75).get(74);
        then(mSchedule.recipients(peers(75), Set.of())).contains(newPeer);
        then(mSchedule.recipients(peers(75), Set.of())).contains(newPeer);
        mSchedule.recipients(peers(75), Set.of());
        mSchedule.onPeerStarted("n3");
        then(mSchedule.recipients(peers(75), Set.of())).contains(peers(75).get(3));
    }

    @Test
    void recipients_coverAllPeersInARoundAndClosePeersEachPeriod() {
        // GIVEN a large fleet
        List<Peer> peers = peers(74);
        Set<String> close = Set.of("n7");
        long periods = mSchedule.roundDuration(74).dividedBy(GossipSchedule.PERIOD);
        // WHEN a round passes
        Set<Peer> reached = new HashSet<>();
        for (int i = 0; i < periods; i++) {
            List<Peer> recipients = mSchedule.recipients(peers, close);
            then(recipients).contains(peers.get(7));
            reached.addAll(recipients);
        }
        // THEN all peers were recipients
        then(reached).containsAll(peers);
    }

    @Test
    void stateTtl_coversLostMessages() {
        then(mSchedule.stateTtl(74))
                .isGreaterThanOrEqualTo(mSchedule.roundDuration(74).multipliedBy(2));
        then(mSchedule.stateTtl(8))
                .isGreaterThanOrEqualTo(mSchedule.roundDuration(8).multipliedBy(2));
    }
}
