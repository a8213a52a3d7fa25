package org.fescuehollow.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fescuehollow.membership.Membership;
import org.fescuehollow.membership.MembershipTiming;
import org.fescuehollow.membership.OutgoingMessage;
import org.fescuehollow.server.peer.GossipCodec;

/**
 * Measures the traffic and processor time of the membership protocol, in virtual time.
 *
 * <p>Not safe for concurrent use.
 */
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
     * Resources that one node uses per second.
     *
     * @param messages datagrams sent
     * @param bytes bytes sent, including IP and UDP headers
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
                    Membership membership =
                            new Membership(
                                    node, domain, 1_700_000_000_000L, MembershipTiming.DEFAULT);
                    membership.setListedNodes(listed);
                    mNodes.put(node, membership);
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

    /**
     * Removes nodes at once and returns the virtual seconds until all others have dropped them.
     *
     * @return -1 if they do not agree within {@link #WARM_UP_SECONDS}
     */
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
        return mNodes.values().stream()
                .allMatch(membership -> membership.usableNodes().equals(mNodes.keySet()));
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            mNowNanos += TICK_NANOS;
            mNodes.values().forEach(membership -> deliver(membership.tick(mNowNanos)));
        }
    }

    private void deliver(List<OutgoingMessage> messages) {
        for (OutgoingMessage outgoing : messages) {
            mMessages++;
            mBytes +=
                    UDP_HEADER_BYTES
                            + GossipCodec.encode(outgoing.message(), 7, List.of(), 0)
                                    .getSerializedSize();
            Membership receiver = mNodes.get(outgoing.to());
            if (receiver != null) {
                deliver(receiver.receive(mNowNanos, outgoing.message()));
            }
        }
    }
}
