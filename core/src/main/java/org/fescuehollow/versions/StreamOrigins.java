package org.fescuehollow.versions;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.fescuehollow.catalog.BoundedMap;

/**
 * The software versions at which streams began, by the ids of the client attempts that began them.
 *
 * <p>Invariants: the version of a stream never changes; the stream that was recorded longest ago is
 * dropped when there are too many. Times are monotonic, in nanoseconds. Not safe for concurrent
 * use.
 */
public final class StreamOrigins {
    /** Longer than clients try to resume a stream. */
    public static final Duration EXPIRY = Duration.ofSeconds(60);

    private final Map<String, Origin> mOrigins;

    /** Where a stream began, and when this was last recorded. */
    private record Origin(String version, long recordedNanos) {}

    /**
     * Creates an empty record.
     *
     * @param maxStreams the number of streams that it holds at most
     */
    public StreamOrigins(int maxStreams) {
        mOrigins = new BoundedMap<>(maxStreams);
    }

    /**
     * Records where a stream began, or that it goes on.
     *
     * @param id the id of the client attempt that began it
     * @param version the version; ignored if another one is recorded
     * @param now the current time
     */
    public void add(String id, String version, long now) {
        String first = find(id, now).orElse(version);
        // The map is in the order of insertion.
        mOrigins.remove(id);
        mOrigins.put(id, new Origin(first, now));
    }

    /**
     * Returns where a stream began.
     *
     * @param id the id of the client attempt that began it
     * @param now the current time
     * @return the version, or empty if it isn't recorded or has expired
     */
    public Optional<String> find(String id, long now) {
        return Optional.ofNullable(mOrigins.get(id))
                .filter(o -> now - o.recordedNanos() <= EXPIRY.toNanos())
                .map(Origin::version);
    }

    /**
     * Drops expired records.
     *
     * @param now the current time
     */
    public void expire(long now) {
        mOrigins.values().removeIf(o -> now - o.recordedNanos() > EXPIRY.toNanos());
    }

    /**
     * Returns the number of records.
     *
     * @return the number, with expired ones that weren't dropped yet
     */
    public int size() {
        return mOrigins.size();
    }
}
