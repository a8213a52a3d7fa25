package org.fescuehollow.suspects;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds requests that crash backend servers, by their digests, without refusing other requests that
 * ran at the same time.
 *
 * <p>All requests that ran on a server when it crashed are suspects. A server runs at most one
 * suspect at a time, so that a further crash identifies the cause: a crash raises only the counts
 * of the requests that have the highest count among those running. A request is refused once its
 * count reaches the limit.
 *
 * <p>Invariants: one crash raises a digest's count by at most one; a digest is dropped after {@link
 * #RETENTION} without a crash; at most {@link #MAX_DIGESTS} digests are held, and the one updated
 * longest ago is dropped first. Not safe for concurrent use.
 */
public final class CrashSuspects {
    /** The number of crashes after which a request is refused. */
    public static final int CRASH_LIMIT = 3;

    /** The maximum number of digests held. */
    public static final int MAX_DIGESTS = 4_096;

    /** The time without a crash after which a digest is dropped. */
    public static final Duration RETENTION = Duration.ofHours(1);

    private final Map<Long, Finding> mFindings = new LinkedHashMap<>();

    /**
     * The crashes recorded for one digest.
     *
     * @param digest the request's digest
     * @param crashes the number of crashes attributed to it
     * @param lastCrashNanos the time of the last crash, by this node's monotonic clock
     */
    public record Finding(long digest, int crashes, long lastCrashNanos) {}

    /**
     * Records a crash of a server.
     *
     * @param now the monotonic time in nanoseconds
     * @param inFlight the digests of the requests that ran on the server
     * @return the changed findings
     */
    public List<Finding> recordCrash(long now, Collection<Long> inFlight) {
        removeExpired(now);
        Set<Long> distinct = new LinkedHashSet<>(inFlight);
        int highest = distinct.stream().mapToInt(d -> crashCount(now, d)).max().orElse(0);
        return distinct.stream()
                .filter(d -> crashCount(now, d) == highest)
                .map(d -> merge(new Finding(d, highest + 1, now)))
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Merges a finding of another node. The higher count is kept.
     *
     * @param finding the finding, with its time converted to this node's clock
     * @return the finding if it raised the count known here, otherwise empty
     */
    public Optional<Finding> merge(Finding finding) {
        Finding known = mFindings.get(finding.digest());
        if (known != null && known.crashes() >= finding.crashes()) {
            return Optional.empty();
        }
        mFindings.remove(finding.digest());
        mFindings.put(finding.digest(), finding);
        if (mFindings.size() > MAX_DIGESTS) {
            mFindings.remove(mFindings.keySet().iterator().next());
        }
        return Optional.of(finding);
    }

    private void removeExpired(long now) {
        mFindings.values().removeIf(f -> now - f.lastCrashNanos() >= RETENTION.toNanos());
    }

    /**
     * Returns the number of crashes attributed to a request.
     *
     * @param now the monotonic time in nanoseconds
     * @param digest the request's digest
     * @return the count, zero if no crash is known
     */
    public int crashCount(long now, long digest) {
        Finding f = mFindings.get(digest);
        return f == null || now - f.lastCrashNanos() >= RETENTION.toNanos() ? 0 : f.crashes();
    }

    /**
     * Returns whether a request is to be refused.
     *
     * @param now the monotonic time in nanoseconds
     * @param digest the request's digest
     * @return true once its count has reached the limit
     */
    public boolean isRefused(long now, long digest) {
        return crashCount(now, digest) >= CRASH_LIMIT;
    }

    /**
     * Returns all findings.
     *
     * @return a copy, the one updated longest ago first
     */
    public List<Finding> findings() {
        return List.copyOf(mFindings.values());
    }
}
