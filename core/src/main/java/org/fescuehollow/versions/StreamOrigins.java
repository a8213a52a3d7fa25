package org.fescuehollow.versions;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.fescuehollow.catalog.BoundedMap;

/**
 * The software versions at which streams began, by the ids of the client attempts that began them.
 *
 * <p>Invariants: a stream for which two versions were recorded has none; the stream that was
 * recorded longest ago is dropped when there are too many. Times are monotonic, in nanoseconds. Not
 * safe for concurrent use.
 */
public final class StreamOrigins {
    /** Longer than clients try to resume a stream. */
    public static final Duration EXPIRY = Duration.ofSeconds(60);

    private final Map<String, Origin> mOrigins;

    /** Where a stream began, empty if disputed, and when this was last recorded. */
    private record Origin(Optional<String> version, long recordedNanos) {}

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
     * @param version the version; if another one is recorded, the stream has none any more
     * @param now the current time, or an earlier one at which another node recorded it
     */
    public void add(String id, String version, long now) {
        Optional<Origin> known = origin(id, now);
        Optional<String> agreed =
                known.map(Origin::version).orElse(Optional.of(version)).filter(version::equals);
        long recorded = known.map(o -> Math.max(o.recordedNanos(), now)).orElse(now);
        // The map is in the order of insertion.
        mOrigins.remove(id);
        mOrigins.put(id, new Origin(agreed, recorded));
    }

    private Optional<Origin> origin(String id, long now) {
        return Optional.ofNullable(mOrigins.get(id))
                .filter(o -> now - o.recordedNanos() <= EXPIRY.toNanos());
    }

    /**
     * Returns where a stream began.
     *
     * @param id the id of the client attempt that began it
     * @param now the current time
     * @return the version, or empty if it isn't recorded, is disputed or has expired
     */
    public Optional<String> find(String id, long now) {
        return origin(id, now).flatMap(Origin::version);
    }

    /**
     * Returns whether two versions were recorded for a stream, so that it must not go on.
     *
     * @param id the id of the client attempt that began it
     * @param now the current time
     * @return false if it isn't recorded or has expired
     */
    public boolean isDisputed(String id, long now) {
        return origin(id, now).filter(o -> o.version().isEmpty()).isPresent();
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
