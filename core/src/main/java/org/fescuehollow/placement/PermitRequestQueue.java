package org.fescuehollow.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Loads that wait for a permit, the most urgent first. A request that isn't refreshed expires.
 *
 * <p>Invariant: a team with many loads delays the loads of other teams only until it exceeds its
 * share. Not safe for concurrent use.
 */
final class PermitRequestQueue {
    private static final long REQUEST_TTL_NANOS = Duration.ofMillis(120).toNanos();

    private final Map<String, TimedRequest> mRequests = new HashMap<>();
    private final TeamShares mShares = new TeamShares();
    private Optional<PermitRequest> mFirst = Optional.empty();
    private long mFirstComputedNanos;

    /** A request and when it was last refreshed. */
    private record TimedRequest(PermitRequest request, long refreshedNanos) {}

    /** Adds a request or refreshes its expiry. */
    void addOrRefresh(long now, PermitRequest request) {
        mRequests.put(request.key(), new TimedRequest(request, now));
    }

    /**
     * Returns whether a request is the first in order. The first request is computed once for each
     * value of {@code now}; a more urgent request added later at the same time replaces it.
     */
    boolean isFirst(long now, PermitRequest request) {
        Optional<PermitRequest> first = first(now);
        if (first.isPresent() && order().compare(request, first.get()) < 0) {
            mFirst = Optional.of(request);
        }
        return mFirst.filter(f -> f.key().equals(request.key())).isPresent();
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

    private Urgency urgencyOf(PermitRequest request) {
        return new Urgency(
                mShares.isOverShare(request.team()), request.priority(), request.waitedMillis());
    }

    void onGranted(long now, PermitRequest request) {
        mRequests.remove(request.key());
        mFirst = Optional.empty();
        mShares.recordUse(now, request.team(), request.weight());
    }

    /** Returns the urgency of the first request. */
    Optional<Urgency> highestUrgency(long now) {
        return first(now).map(this::urgencyOf);
    }
}
