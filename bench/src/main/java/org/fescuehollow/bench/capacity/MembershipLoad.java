package org.fescuehollow.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.membership.Membership;
import org.fescuehollow.membership.MembershipTiming;
import org.fescuehollow.membership.OutgoingMessage;
import org.fescuehollow.server.peer.GossipCodec;

/** Measures the membership protocol's cost for a node, in virtual time. Used from one thread. */
final class MembershipLoad {
    private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();
    private static final int WARM_SECONDS = 300;
    private static final int SECONDS = 60;
    private static final int DOMAINS = 5;
    private static final int UDP_HEADER_BYTES = 28;

    private final SortedMap<String, Membership> mNodes = new TreeMap<>();
    private long mNow;
    private long mBytes;
    private long mMessages;

    /**
     * What one node spends in a second.
     *
     * @param messages datagrams sent
     * @param bytes bytes sent, headers included
     * @param cpuMicros processor time in microseconds
     */
    record Cost(double messages, double bytes, double cpuMicros) {}

    MembershipLoad(int nodes) {
        SortedMap<String, String> listed = new TreeMap<>();
        for (int n = 0; n < nodes; n++) {
            listed.put(String.format("entry-%04d", n), "domain-" + n % DOMAINS);
        }
        listed.forEach(
                (node, domain) -> {
                    Membership m =
                            new Membership(
                                    node, domain, 1_700_000_000_000L, MembershipTiming.DEFAULT);
                    m.setListedNodes(listed);
                    mNodes.put(node, m);
                });
    }

    Cost measure() {
        run(WARM_SECONDS);
        mBytes = 0;
        mMessages = 0;
        double cpu = Meter.cpuNanos(() -> run(SECONDS));
        double nodeSeconds = (double) SECONDS * mNodes.size();
        return new Cost(mMessages / nodeSeconds, mBytes / nodeSeconds, cpu / 1_000 / nodeSeconds);
    }

    /** Restarts a share of the nodes at once and returns the seconds until all agree again. */
    int secondsToAgreeAfterLosing(int lost) {
        run(WARM_SECONDS);
        List.copyOf(mNodes.keySet()).subList(0, lost).forEach(mNodes::remove);
        for (int s = 1; s <= WARM_SECONDS; s++) {
            run(1);
            if (agree()) {
                return s;
            }
        }
        return -1;
    }

    private boolean agree() {
        return mNodes.values().stream().allMatch(m -> m.usableNodes().equals(mNodes.keySet()));
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            mNow += TICK_NANOS;
            mNodes.values().forEach(m -> deliver(m.tick(mNow)));
        }
    }

    private void deliver(List<OutgoingMessage> messages) {
        for (OutgoingMessage o : messages) {
            mMessages++;
            mBytes +=
                    UDP_HEADER_BYTES
                            + GossipCodec.encode(o.message(), 7, List.of(), 0).getSerializedSize();
            Membership to = mNodes.get(o.to());
            if (to != null) {
                deliver(to.receive(mNow, o.message()));
            }
        }
    }
}
