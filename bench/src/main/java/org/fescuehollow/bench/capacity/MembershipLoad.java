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
    private static final int WARM_UP_SECONDS = 300;
    private static final int MEASURED_SECONDS = 60;
    private static final int DOMAINS = 5;
    private static final int UDP_HEADER_BYTES = 28;

    private final SortedMap<String, Membership> mNodes = new TreeMap<>();
    private long mNowNanos;
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
        run(WARM_UP_SECONDS);
        mBytes = 0;
        mMessages = 0;
        double cpu = ResourceMeter.cpuNanos(() -> run(MEASURED_SECONDS));
        double nodeSeconds = (double) MEASURED_SECONDS * mNodes.size();
        return new Cost(mMessages / nodeSeconds, mBytes / nodeSeconds, cpu / 1_000 / nodeSeconds);
    }

    /** Restarts a share of the nodes at once and returns the seconds until all agree again. */
    int secondsToConvergeAfterLosing(int lost) {
        run(WARM_UP_SECONDS);
        List.copyOf(mNodes.keySet()).subList(0, lost).forEach(mNodes::remove);
        for (int s = 1; s <= WARM_UP_SECONDS; s++) {
            run(1);
            if (allAgree()) {
                return s;
            }
        }
        return -1;
    }

    private boolean allAgree() {
        return mNodes.values().stream().allMatch(m -> m.usableNodes().equals(mNodes.keySet()));
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            mNowNanos += TICK_NANOS;
            mNodes.values().forEach(m -> deliver(m.tick(mNowNanos)));
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
                deliver(to.receive(mNowNanos, o.message()));
            }
        }
    }
}
