package org.fescuehollow.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Loads that wait for a permit, the most urgent first. A want that isn't repeated is forgotten.
 *
 * <p>Invariant: a team that asks for many loads delays the others no longer than until it is over
 * its share. Not safe for concurrent use.
 */
final class PermitRequestQueue {
    private static final long REQUEST_TTL_NANOS = Duration.ofMillis(120).toNanos();

    private final Map<String, TimedRequest> mRequests = new HashMap<>();
    private final TeamShares mShares = new TeamShares();
    private Optional<PermitRequest> mFirst = Optional.empty();
    private long mFirstComputedNanos;

    /** A want and when it was last repeated. */
    private record TimedRequest(PermitRequest request, long refreshedNanos) {}

    /** Takes or repeats a want. */
    void addOrRefresh(long now, PermitRequest want) {
        mRequests.put(want.key(), new TimedRequest(want, now));
    }

    /**
     * Tells whether a want goes first. The first is sought once for each time; a want noted later
     * at the same time goes first if nothing known goes before it.
     */
    boolean isFirst(long now, PermitRequest want) {
        Optional<PermitRequest> first = first(now);
        if (first.isPresent() && order().compare(want, first.get()) < 0) {
            mFirst = Optional.of(want);
        }
        return mFirst.filter(f -> f.key().equals(want.key())).isPresent();
    }

    private Optional<PermitRequest> first(long now) {
        if (mFirst.isEmpty() || mFirstComputedNanos != now) {
            removeExpired(now);
            mFirstComputedNanos = now;
            mFirst = mRequests.values().stream().map(TimedRequest::request).min(order());
        }
        return mFirst;
    }

    private void removeExpired(long now) {
        mRequests.values().removeIf(s -> now - s.refreshedNanos() > REQUEST_TTL_NANOS);
    }

    private Comparator<PermitRequest> order() {
        return Comparator.comparing(this::urgencyOf).thenComparing(PermitRequest::key);
    }

    private Urgency urgencyOf(PermitRequest want) {
        return new Urgency(mShares.isOverShare(want.team()), want.priority(), want.waitedMillis());
    }

    void onGranted(long now, PermitRequest want) {
        mRequests.remove(want.key());
        mFirst = Optional.empty();
        mShares.recordUse(now, want.team(), want.weight());
    }

    /** Returns the urgency of the first want. */
    Optional<Urgency> highestUrgency(long now) {
        return first(now).map(this::urgencyOf);
    }
}
