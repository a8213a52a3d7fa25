package org.fescuehollow.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are still to be gossiped, each in a limited number of messages.
 *
 * <p>Invariant: at most one update for each node, the latest. Not safe for concurrent use.
 */
final class GossipQueue {
    static final int MAX_UPDATES_PER_MESSAGE = 16;

    /** An update is sent this many times the logarithm of the number of nodes. */
    private static final int RETRANSMIT_MULTIPLIER = 3;

    private final Map<String, MemberUpdate> mUpdates = new LinkedHashMap<>();
    private final Map<String, Integer> mRemainingTransmits = new HashMap<>();

    void add(MemberUpdate update, int memberCount) {
        int logMembers = 32 - Integer.numberOfLeadingZeros(Math.max(1, memberCount));
        mUpdates.remove(update.node());
        mUpdates.put(update.node(), update);
        mRemainingTransmits.put(update.node(), RETRANSMIT_MULTIPLIER * (logMembers + 1));
    }

    List<MemberUpdate> takeBatch() {
        List<MemberUpdate> batch =
                mUpdates.values().stream()
                        .sorted(Comparator.comparing(u -> -mRemainingTransmits.get(u.node())))
                        .limit(MAX_UPDATES_PER_MESSAGE)
                        .toList();
        batch.forEach(this::countTransmit);
        return batch;
    }

    private void countTransmit(MemberUpdate update) {
        int remaining = mRemainingTransmits.merge(update.node(), -1, Integer::sum);
        if (remaining <= 0) {
            mRemainingTransmits.remove(update.node());
            mUpdates.remove(update.node());
        }
    }
}
