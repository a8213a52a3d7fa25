package org.fescuehollow.residency;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * The leases on one engine that the witnesses granted this node.
 *
 * <p>Invariant: a grant counts from when this node asked for it, not from when the answer arrived,
 * so that no delay of messages makes it look newer than it is. Not safe for concurrent use.
 */
public final class LeaseVotes {
    private final Map<String, Long> mGrantedNanos = new HashMap<>();
    private long mClearedNanos = Long.MIN_VALUE;

    /**
     * Handles the grant of a witness.
     *
     * @param witness the witness
     * @param askedNanos the monotonic time in nanoseconds at which this node asked for it
     */
    public void onGranted(String witness, long askedNanos) {
        if (askedNanos > mClearedNanos) {
            mGrantedNanos.merge(witness, askedNanos, Math::max);
        }
    }

    /**
     * Forgets all grants; those that this node asked for before don't count any more.
     *
     * @param now the monotonic time in nanoseconds
     */
    public void clear(long now) {
        mGrantedNanos.clear();
        mClearedNanos = now;
    }

    /**
     * Returns the newest time from which a majority of the witnesses has granted the lease.
     *
     * @param witnesses all witnesses
     * @return a monotonic time in nanoseconds; far in the past if no majority granted it
     */
    public long majorityNanos(Collection<String> witnesses) {
        int majority = witnesses.size() / 2 + 1;
        return witnesses.stream()
                .map(w -> mGrantedNanos.getOrDefault(w, Long.MIN_VALUE / 2))
                .sorted(Comparator.reverseOrder())
                .skip(majority - 1L)
                .findFirst()
                .orElse(Long.MIN_VALUE / 2);
    }
}
