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
final class Rumours {
    static final int PER_MESSAGE = 16;
    private static final int REPEATS = 3;

    private final Map<String, MemberUpdate> mNews = new LinkedHashMap<>();
    private final Map<String, Integer> mLeft = new HashMap<>();

    void add(MemberUpdate update, int members) {
        int log = 32 - Integer.numberOfLeadingZeros(Math.max(1, members));
        mNews.remove(update.node());
        mNews.put(update.node(), update);
        mLeft.put(update.node(), REPEATS * (log + 1));
    }

    List<MemberUpdate> take() {
        List<MemberUpdate> batch =
                mNews.values().stream()
                        .sorted(Comparator.comparing(u -> -mLeft.get(u.node())))
                        .limit(PER_MESSAGE)
                        .toList();
        batch.forEach(this::spent);
        return batch;
    }

    private void spent(MemberUpdate update) {
        int left = mLeft.merge(update.node(), -1, Integer::sum);
        if (left <= 0) {
            mLeft.remove(update.node());
            mNews.remove(update.node());
        }
    }
}
