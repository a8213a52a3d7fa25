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
 * Finds requests that crash backend servers, by digest, without refusing the innocent.
 *
 * <p>All requests that ran on a server when it crashed are suspects. A suspect runs alone among
 * suspects, so that a further crash tells them apart: its count grows only if it was the only
 * request there with the highest count. A request is refused once its count reaches the limit.
 *
 * <p>Invariants: one crash raises a digest's count by at most one; a digest is forgotten after a
 * time without crashes; at most {@link #MAX_DIGESTS} digests are held. Not safe for concurrent use.
 */
public final class CrashSuspects {
    /** Crashes after which a request is refused. */
    public static final int CRASH_LIMIT = 3;

    /** How many digests are held. */
    public static final int MAX_DIGESTS = 4_096;

    /** Time without crashes after which a digest is forgotten. */
    public static final Duration RETENTION = Duration.ofHours(1);

    private final Map<Long, Finding> mFindings = new LinkedHashMap<>();

    /**
     * What is known of one digest.
     *
     * @param digest the request's digest
     * @param crashes servers that crashed while they ran it
     * @param lastCrashNanos the last crash, by this node's monotonic clock
     */
    public record Finding(long digest, int crashes, long lastCrashNanos) {}

    /**
     * Takes a crash.
     *
     * @param now the monotonic time in nanoseconds
     * @param inFlight the digests of the requests that ran on the server
     * @return the findings that have changed
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
     * Takes another node's finding.
     *
     * @param finding the finding, with its time translated to this node's clock
     * @return the finding if it is news here
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
     * Returns how many servers crashed on a request.
     *
     * @param now the monotonic time in nanoseconds
     * @param digest the request's digest
     * @return zero if none is known
     */
    public int crashCount(long now, long digest) {
        Finding f = mFindings.get(digest);
        return f == null || now - f.lastCrashNanos() >= RETENTION.toNanos() ? 0 : f.crashes();
    }

    /**
     * Tells whether a request is to be refused.
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
     * @return a copy, the oldest first
     */
    public List<Finding> findings() {
        return List.copyOf(mFindings.values());
    }
}
