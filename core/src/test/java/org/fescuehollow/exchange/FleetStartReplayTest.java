package org.fescuehollow.exchange;

import static org.assertj.core.api.BDDAssertions.then;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays, in virtual time, the start of a whole fleet: all nodes start in the same period, know
 * three of them, and learn of the others from messages that mention a few nodes. A tenth of the
 * messages is lost. Guards against messages that grow with the fleet and against nodes that all
 * others write to in the same period.
 */
class FleetStartReplayTest {
    private static final int SEEDS = 3;
    private static final int MENTIONED_NODES = 16;
    private static final int CLAIMED_TOGETHER = 4;

    /** Half of what the slowest links, of 7 Mbit/s, carry in a period. */
    private static final double MAX_BYTES = 0.5 * 7e6 / 8 * GossipSchedule.PERIOD.toMillis() / 1e3;

    private static final int PACKET_BYTES = 1_500;

    /** The shortest time after a restart in which nodes must serve again. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);

    /** Time after the last discovery until a node may claim engines, besides two greetings. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(1_600);

    /** Share of the messages that are lost. */
    private static final double LOSS = 0.1;

    private final Random mRandom = new Random(3);
    private final List<Node> mNodes = new ArrayList<>();

    private static final class Node {
        private final Peer mPeer;
        private final PeerTable mTable;
        private final GossipSchedule mSchedule;
        private int mReceived;
        private long mSequence;

        Node(Peer peer) {
            mPeer = peer;
            mTable = new PeerTable(peer, 0);
            mSchedule = new GossipSchedule(peer.name());
        }
    }

    private static Peer peer(int i) {
        return new Peer(String.format("node-%03d", i), "d" + i % 5, "10.0.0." + i);
    }

    /** The nodes next to this one stand for those that claim the same engines. */
    private Set<String> close(int i) {
        int last = mNodes.size() - 1;
        return Set.copyOf(
                IntStream.rangeClosed(i - CLAIMED_TOGETHER / 2, i + CLAIMED_TOGETHER / 2)
                        .filter(n -> n != i)
                        .mapToObj(n -> peer(Math.min(last, Math.max(0, n))).name())
                        .toList());
    }

    /** Sends the messages of one period; returns the most that one node received. */
    private int runPeriod(long now) {
        mNodes.forEach(n -> n.mReceived = 0);
        for (int i = 0; i < mNodes.size(); i++) {
            Node from = mNodes.get(i);
            List<Peer> known = from.mTable.peers();
            List<Peer> mentioned = from.mSchedule.mentions(known, MENTIONED_NODES);
            List<Peer> to = new ArrayList<>(from.mSchedule.recipients(known, close(i)));
            IntStream.range(0, SEEDS)
                    .mapToObj(FleetStartReplayTest::peer)
                    .filter(s -> !known.contains(s) && !s.equals(from.mPeer))
                    .forEach(to::add);
            from.mSequence++;
            to.forEach(p -> deliver(from, p, mentioned, now));
        }
        return mNodes.stream().mapToInt(n -> n.mReceived).max().orElseThrow();
    }

    private void runUntil(Duration start, Duration end) {
        for (Duration t = start; t.compareTo(end) < 0; t = t.plus(GossipSchedule.PERIOD)) {
            runPeriod(t.toNanos());
        }
    }

    private void deliver(Node from, Peer peer, List<Peer> mentioned, long now) {
        if (mRandom.nextDouble() < LOSS) {
            return;
        }
        Node to = mNodes.get(Integer.parseInt(peer.name().substring(5)));
        to.mReceived++;
        to.mTable.onMessage(from.mPeer, 1, from.mSequence, false, now);
        mentioned.forEach(p -> to.mTable.onPeerMentioned(p, now));
    }

    private boolean isComplete() {
        return mNodes.stream().allMatch(n -> n.mTable.size() == mNodes.size());
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 75, 300})
    void start_isCompleteSoonWithoutABurstToOneNode(int nodes) {
        IntStream.range(0, nodes).forEach(i -> mNodes.add(new Node(peer(i))));
        Duration time = Duration.ZERO;
        while (!isComplete() && time.compareTo(Duration.ofSeconds(20)) < 0) {
            runPeriod(time.toNanos());
            time = time.plus(GossipSchedule.PERIOD);
        }
        Duration greeting = new GossipSchedule("n").greetingDuration(nodes - 1);
        then(time.plus(SETTLE_TIME).plus(greeting.multipliedBy(2)))
                .isLessThanOrEqualTo(RECOVERY_TIME);
        runUntil(time, time.plus(greeting));
        int most = 0;
        for (int i = 1; i <= 100; i++) {
            Duration t = time.plus(greeting).plus(GossipSchedule.PERIOD.multipliedBy(i));
            most = Math.max(most, runPeriod(t.toNanos()));
        }
        then(most * PACKET_BYTES).isLessThanOrEqualTo((int) MAX_BYTES);
    }
}
