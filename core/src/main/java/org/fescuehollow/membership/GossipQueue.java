package org.fescuehollow.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News still to be spread, each a bounded number of times.
 *
 * <p>Invariant: of each node only the newest news is kept. Not safe for concurrent use.
 */
final class GossipQueue {
    static final int MAX_UPDATES_PER_MESSAGE = 16;
    private static final int RETRANSMIT_MULTIPLIER = 3;

    private final Map<String, MemberUpdate> mUpdates = new LinkedHashMap<>();
    private final Map<String, Integer> mRemainingTransmits = new HashMap<>();

    void add(MemberUpdate update, int members) {
        int log = 32 - Integer.numberOfLeadingZeros(Math.max(1, members));
        mUpdates.remove(update.node());
        mUpdates.put(update.node(), update);
        mRemainingTransmits.put(update.node(), RETRANSMIT_MULTIPLIER * (log + 1));
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
        int left = mRemainingTransmits.merge(update.node(), -1, Integer::sum);
        if (left <= 0) {
            mRemainingTransmits.remove(update.node());
            mUpdates.remove(update.node());
        }
    }
}
